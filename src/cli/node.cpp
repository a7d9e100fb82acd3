// `gatetiller node`.
#include "node/node.hpp"

#include <csignal>
#include <cstdio>

#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "decide/readiness_guard.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::cli {
namespace {

constexpr Micros kReadAgain =
    100 * kMillisecond;  // a configuration that can't be read; then twice as long each time
constexpr Micros kReadAgainMost = 2 * kSecondMicros;
constexpr int kReads = 16;
constexpr Micros kConfigPatience =
    3 * kSecondMicros;  // with a configuration that may be half written, at the start

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
        if (const auto settings = node::load_config(file_)) {
            front_.reload(*settings);
            return log_->info("reloaded");
        } else if (++reads_ >= kReads) {
            return log_->error("reload refused for good, the old settings stay: " + settings.error());
        } else if (reads_ == 1) {
            log_->error("reload refused, the old settings stay until it can be read: " + settings.error());
        }
        const Micros pause = std::min(kReadAgain << std::min(reads_ - 1, 8), kReadAgainMost);
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

int run_node(const std::string& file, const Common& common) {
    const auto [output, log] = make_logger(common.log_format, common.log_level);
    net::PollLoop loop({.input = 96 * 1024});
    const auto settings = start_through_failures<node::NodeSettings>(
        loop, *log,
        [&] {
            return node::load_config(file);
        },
        kConfigPatience);
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.error().c_str());
        return 1;
    }
    node::NodeDeps deps;
    deps.faults = &node::fault_injection();
    deps.log = [log = log](const std::string& t) {
        log->info(t);
    };
    if (log->should_log(spdlog::level::debug))
        deps.trace = [log = log](const std::string& t) {
            log->debug(t);
        };
    deps.log_lines_lost = [output = output] {
        return output->lost();
    };
    node::Node front(loop, *settings, deps);
    Reload reload(loop, file, front, log);
    const auto on_signal = [&](int signal) {
        if (signal == SIGHUP)
            return reload.begin();
        log->info(std::string("signal ") + (signal == SIGTERM ? "SIGTERM" : "SIGINT"));
        front.drain([&] {
            loop.stop();
        });
    };
    const auto hears = start_through_failures<bool>(loop, *log, [&] {
        return loop.on_signals({SIGTERM, SIGINT, SIGHUP}, on_signal);
    });
    const auto bound = start_through_failures<net::Address>(loop, *log, [&] {
        return front.start();
    });
    if (loop.stopped())
        return 0;  // told to end before it was ready
    if (!hears || !bound) {
        std::fprintf(stderr, "%s\n", (hears ? bound.error() : hears.error()).c_str());
        return 1;
    }
    const auto readiness = deps.faults->readiness({front.has_list(), front.is_listening(), hears.ok()});
    if (decide::ReadinessGuard::permit(readiness))
        say_line(bound->text());
    else
        front.report_violation(*decide::ReadinessGuard::find_violation(readiness), "start");
    loop.run();
    return 0;
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
