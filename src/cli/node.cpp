// `gatetiller node`.
#include "node/node.hpp"

#include <csignal>
#include <cstdio>

#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::cli {
namespace {

int run_node(const std::string& file, const Common& common) {
    const auto log = make_logger(common.log_format, common.log_level);
    auto settings = node::load_config(file);
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.error().c_str());
        return 1;
    }
    net::PollLoop loop({.input = 96 * 1024});
    node::NodeDeps deps;
    deps.log = [log](const std::string& t) { log->info(t); };
    if (log->should_log(spdlog::level::debug)) deps.trace = [log](const std::string& t) { log->debug(t); };
    node::Node front(loop, *settings, deps);
    loop.on_signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
        if (signal != SIGHUP) return front.drain([&] { loop.stop(); });
        auto again = node::load_config(file);
        if (!again) return log->error("reload refused, the old settings stay: " + again.error());
        front.reload(*again);
    });
    auto bound = front.start();
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().c_str());
        return 1;
    }
    std::printf("%s\n", bound->text().c_str());
    std::fflush(stdout);
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
    cmd->callback([=, &common] { common.code = run_node(*file, common); });
}

}  // namespace gatetiller::cli
