// cli: the one program and its sub-commands. It wires packages together and holds no logic of its own.
#include "cli/commands.hpp"
#include "cli/process.hpp"

int main(int argc, char** argv) {
    gatetiller::cli::prepare_process();
    CLI::App app{"gatetiller: admits statements and routes them to analytic engines", "gatetiller"};
    app.require_subcommand(1);
    app.set_version_flag("--version", std::string("gatetiller ") + GATETILLER_VERSION);
    gatetiller::cli::Common common;
    app.add_option("--log-format", common.log_format, "text or json")->check(CLI::IsMember({"text", "json"}));
    app.add_option("--log-level", common.log_level, "trace, debug, info, warn or error")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}));
    app.fallthrough();
    app.footer("Example: gatetiller demo");
    gatetiller::cli::add_demo(app, common);
    gatetiller::cli::add_serve(app, common);
    gatetiller::cli::add_engine(app, common);
    gatetiller::cli::add_node(app, common);
    gatetiller::cli::add_query(app, common);
    gatetiller::cli::add_config(app, common);
    gatetiller::cli::add_lab(app, common);
    gatetiller::cli::add_report(app, common);
    app.parse_complete_callback([&] {
        common.format_given = app.count("--log-format") > 0;
        common.level_given = app.count("--log-level") > 0;
        const auto chosen = [&](const char* name) {
            return app.got_subcommand(name);
        };
        if (!chosen("node") && !chosen("serve") && !chosen("engine") && !chosen("demo"))
            gatetiller::cli::restore_default_signals();
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;  // 2: wrong use
    }
    return common.code;
}
