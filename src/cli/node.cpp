// `gatetiller node`: the process around a front node.
#include "node/node.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <utility>

#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "decide/readiness_guard.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::cli {
namespace {

// A configuration that can't be read is read again after this, and after twice as long each time, up to the
// longest.
constexpr Micros kFirstReadPause = 100 * kMillisecond;
constexpr Micros kLongestReadPause = 2 * kSecondMicros;
constexpr int kMaxDoublings = 8;
constexpr int kMaxReads = 16;
constexpr Micros kStartReadTime = 3 * kSecondMicros;  // for a configuration that may be half written
constexpr std::size_t kInputBytes = 98'304;           // of one connection, read and not yet handled

// A new configuration at SIGHUP. Whoever writes it may signal while it is half written: one that can't be
// read is read again for a while.
class Reload {
public:
    Reload(net::PollLoop& loop, std::string file, node::Node& front, std::shared_ptr<spdlog::logger> log)
        : loop_(loop), file_(std::move(file)), front_(front), log_(std::move(log)) {}
    ~Reload() {
        loop_.cancel(timer_);
    }

    void begin() {
        reads_ = 0;
        read();
    }

private:
    void read() {
        loop_.cancel(std::exchange(timer_, 0));
        const auto settings = node::load_config(file_);
        if (settings) {
            front_.reload(*settings);
            log_->info("reloaded");
            return;
        }
        ++reads_;
        if (reads_ >= kMaxReads) {
            log_->error("reload refused for good, the old settings stay: " + settings.error());
            return;
        }
        if (reads_ == 1)
            log_->error("reload refused, the old settings stay until it can be read: " + settings.error());
        read_later();
    }

    void read_later() {
        const Micros pause =
            std::min(kFirstReadPause << std::min(reads_ - 1, kMaxDoublings), kLongestReadPause);
        timer_ = loop_.after(pause, [this] {
            timer_ = 0;
            read();
        });
    }

    net::PollLoop& loop_;
    std::string file_;
    node::Node& front_;
    std::shared_ptr<spdlog::logger> log_;
    int reads_ = 0;
    net::TimerId timer_ = 0;
};

node::NodeDeps make_deps(const std::shared_ptr<spdlog::logger>& log,
                         std::function<std::uint64_t()> lines_lost) {
    node::NodeDeps deps;
    deps.faults = &node::fault_injection();
    deps.log = [log](const std::string& line) {
        log->info(line);
    };
    if (log->should_log(spdlog::level::debug))
        deps.trace = [log](const std::string& line) {
            log->debug(line);
        };
    deps.log_lines_lost = std::move(lines_lost);
    return deps;
}

// Starts the node, says that it is ready, and serves until a signal ends it. Returns the exit code.
int serve(net::PollLoop& loop, node::Node& front, Reload& reload, const node::FaultInjection& faults,
          const std::shared_ptr<spdlog::logger>& log) {
    const auto on_signal = [&](int signal) {
        if (signal == SIGHUP)
            return reload.begin();
        log->info(std::string("signal ") + (signal == SIGTERM ? "SIGTERM" : "SIGINT"));
        front.drain([&loop] {
            loop.stop();
        });
    };
    const auto signals = start_through_failures<bool>(loop, *log, [&] {
        return loop.on_signals({SIGTERM, SIGINT, SIGHUP}, on_signal);
    });
    const auto bound = start_through_failures<net::Address>(loop, *log, [&] {
        return front.start();
    });
    if (loop.stopped())
        return 0;  // a signal ended it before it was ready
    if (!signals || !bound) {
        std::fprintf(stderr, "%s\n", (signals ? bound.error() : signals.error()).c_str());
        return 1;
    }
    const auto readiness = faults.readiness({front.has_endpoint_list(), front.is_listening(), signals.ok()});
    if (decide::ReadinessGuard::permit(readiness))
        say_line(bound->text());
    else
        front.report_violation(*decide::ReadinessGuard::find_violation(readiness), "start");
    loop.run();
    return 0;
}

int run_node(const std::string& file, const Common& common) {
    const Log logging = make_logger(common.log_format, common.log_level);
    const auto& output = logging.output;
    const std::shared_ptr<spdlog::logger> log = logging.logger;
    net::PollLoop loop({.input = kInputBytes});
    const auto settings = start_through_failures<node::NodeSettings>(
        loop, *log,
        [&] {
            return node::load_config(file);
        },
        kStartReadTime);
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.error().c_str());
        return 1;
    }
    const auto deps = make_deps(log, [output] {
        return output->lost();
    });
    node::Node front(loop, *settings, deps);
    Reload reload(loop, file, front, log);
    return serve(loop, front, reload, *deps.faults, log);
}

}  // namespace

void add_node(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("node", "run a front node of the platform (Thrift clients, RESP engines)");
    auto file = std::make_shared<std::string>();
    cmd->add_option("--config", *file, "the platform's configuration (JSON)")
        ->envname("EDGE_CONFIG")
        ->required();
    cmd->footer("Example: EDGE_CONFIG=/run/balancer/config.json gatetiller node");
    cmd->callback([=, &common] {
        common.code = run_node(*file, common);
    });
}

}  // namespace gatetiller::cli
