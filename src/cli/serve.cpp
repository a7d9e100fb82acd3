// `gatetiller serve`, `engine`, `demo` and `config`.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "engine/config.hpp"
#include "engine/service.hpp"
#include "front/front.hpp"
#include "lab/records.hpp"
#include "net/poll_loop.hpp"
#include "net/tap.hpp"
#include "statement/json.hpp"

namespace gatetiller::cli {
namespace {

using statement::json_string;

std::string say(const std::string& format, const std::string& text) {
    return format == "json" ? "\"message\":" + json_string(text) : text;
}

// One line for each finished statement: who, what, how long in each phase, and which side ended it.
std::string line_of(const std::string& format, const front::FinishedStatement& f) {
    const auto ms = [](Micros span) {
        return static_cast<double>(span) / 1000;
    };
    if (format == "json")
        return fmt::format(
            R"("message":"statement","id":{},"trace":{},"user":{},"class":{},"tenant":{},"engine":{},"attempts":{},"ended":"{}","queued_ms":{:.3f},"running_ms":{:.3f},"fetching_ms":{:.3f},"total_ms":{:.3f},"cpu_ms":{},"peak_bytes":{},"spilled_bytes":{},"error":{})",
            json_string(f.id), json_string(f.trace_token), json_string(f.user), json_string(f.class_name),
            json_string(f.tenant), json_string(f.engine), f.attempts, name_of(f.outcome), ms(f.queued),
            ms(f.running), ms(f.fetching), ms(f.total), f.cpu_ms, f.peak_memory_bytes, f.spilled_bytes,
            json_string(f.error));
    return fmt::format(
        "statement {} {} user={} class={} tenant={} engine={} attempts={} queued={:.1f}ms running={:.1f}ms "
        "fetching={:.1f}ms total={:.1f}ms cpu={}ms peak={}B spilled={}B{}",
        f.id, name_of(f.outcome), f.user, f.class_name, f.tenant.empty() ? "-" : f.tenant,
        f.engine.empty() ? "-" : f.engine, f.attempts, ms(f.queued), ms(f.running), ms(f.fetching),
        ms(f.total), f.cpu_ms, f.peak_memory_bytes, f.spilled_bytes,
        f.error.empty() ? "" : " error=" + json_string(f.error));
}

std::unique_ptr<store::LedgerWriter> ledger_of(const config::FrontSettings& s) {
    if (s.ledger.file.empty())
        return nullptr;
    store::LedgerWriterSettings w;
    w.file = s.ledger.file, w.front = s.name, w.incarnation = entropy().substr(0, 16);
    w.flush_interval = s.ledger.flush_every, w.retention = s.ledger.keep,
    w.history_window = s.budgets.budgets.empty() ? 0 : s.budgets.quota.window,
    w.limits.max_queued_rows = s.ledger.waiting;
    auto ledger = std::make_unique<store::LedgerWriter>(std::move(w));
    ledger->start_thread();
    return ledger;
}

front::FrontDeps deps_of(const config::FrontSettings& s, std::shared_ptr<spdlog::logger> log,
                         store::LedgerWriter* ledger = nullptr) {
    const std::string format = s.log.format;
    return {entropy,
            s.seed.value_or(random_seed()),
            [log, format](const std::string& t) {
                log->info(say(format, t));
            },
            [log, format](const front::FinishedStatement& f) {
                log->info(line_of(format, f));
            },
            nullptr,
            ledger};
}

int run_front(config::FrontSettings settings, const std::string& file, const Common& common) {
    if (common.format_given)
        settings.log.format = common.log_format;
    if (common.level_given)
        settings.log.level = common.log_level;
    const auto log = make_logger(settings.log.format, settings.log.level).logger;
    const std::string format = settings.log.format;
    const std::size_t files = raise_open_files();
    if (files < settings.server.connections + 1000)
        log->warn(say(format, "this process may open " + std::to_string(files) +
                                  " files: too few for limits.connections of " +
                                  std::to_string(settings.server.connections) +
                                  " and its engines; raise the limit (ulimit -n) or lower the setting"));
    net::PollLoop loop;
    std::ofstream records;
    if (!settings.records.empty())
        records = lab::append_lines(settings.records);
    net::TapLoop tapped(loop, [&](const net::TapEvent& e) {
        records << lab::line_of(lab::record_of(settings.name, e)) << std::flush;
    });
    const auto ledger = ledger_of(settings);
    front::Front front(records.is_open() ? static_cast<net::Loop&>(tapped) : loop, settings,
                       deps_of(settings, log, ledger.get()));
    const auto on_signal = [&](int signal) {
        if (signal != SIGHUP)
            return front.drain([&] {
                loop.stop();
            });
        auto again = config::load_front(file);
        if (!again)
            return log->error(say(format, "reload refused, the old settings stay: " + again.error()));
        front.reload(again->front);
        log->info(say(format, "reloaded engines, roster and routes"));
    };
    const auto hears = start_through_failures<bool>(loop, *log, [&] {
        return loop.on_signals({SIGTERM, SIGINT, SIGHUP}, on_signal);
    });
    const auto bound = start_through_failures<std::vector<net::Address>>(loop, *log, [&] {
        return front.start();
    });
    if (!loop.stopped()) {
        if (!hears || !bound) {
            std::fprintf(stderr, "%s\n", (hears ? bound.error() : hears.error()).c_str());
            return 1;
        }
        for (const auto& address : *bound)
            say_line("http://" + address.text());
        loop.run();
    }
    if (ledger)
        for (const auto& text : ledger->finish(loop.now(), loop.wall()))
            log->warn(say(format, text));
    return 0;
}

int run_engine(const std::string& file) {
    const auto text = config::whole_file(file);
    auto settings =
        text ? engine::load_engine_text(file, *text) : Result<engine::ServiceSettings>(Error{text.error()});
    if (!settings) {
        std::fprintf(stderr, "%s\n", settings.error().c_str());
        return 1;
    }
    net::PollLoop loop;
    std::ofstream journal;
    if (!settings->journal.empty())
        journal = lab::append_lines(settings->journal);
    std::ofstream events;
    if (!settings->events.empty())
        events = lab::append_lines(settings->events);
    // Flushed line by line: a killed engine's must be whole.
    engine::Service service(
        loop, *settings, entropy,
        [&](const engine::Entry& e) {
            if (journal.is_open())
                journal << lab::line_of(settings->name, e) << std::flush;
        },
        [&](const statement::Completed& e) {
            if (events.is_open())
                events << statement::write_completed(e) << "\n" << std::flush;
        });
    const auto hears = loop.on_signals({SIGTERM, SIGINT, SIGHUP}, [&](int) {
        loop.stop();
    });
    if (!hears) {
        std::fprintf(stderr, "%s\n", hears.error().c_str());
        return 1;
    }
    auto bound = service.start();
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().c_str());
        return 1;
    }
    std::printf("http://%s\n", bound->text().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

constexpr const char* kDemo = R"(local g = import 'gatetiller.libsonnet';
g.front('demo') {
  listen: ['127.0.0.1:%PORT%'],
  classes: {
    lookup: g.class('500ms', '5s') { aim_stretch: 2, late_share: 0.2 },
    report: g.class('5s', '60s') { aim_stretch: 2, threads: 2, value: 10, late_share: 0.5 },
  },
  tenants: { everyone: g.tenant(1) },
  kinds: { std: g.kind(4, '4GiB') },
  engines: { %ENGINES% },
  facts+: { reports: 'answers' },
  routes: [g.route('report', { source: 'report*' }), g.route('lookup')],
}
)";

int run_demo(int port, double seconds, const Common& common) {
    net::PollLoop loop;
    std::vector<std::unique_ptr<engine::Service>> engines;
    std::string names;
    for (int i = 1; i <= 3; ++i) {
        engine::ServiceSettings s;
        s.name = "engine-" + std::to_string(i);
        s.listen = *net::Address::parse("127.0.0.1:0");
        s.machine.cores = 4, s.machine.memory_mb = 4096;
        engines.push_back(std::make_unique<engine::Service>(loop, s, entropy, nullptr));
        auto bound = engines.back()->start();
        if (!bound) {
            std::fprintf(stderr, "%s\n", bound.error().c_str());
            return 1;
        }
        names += "'" + s.name + "': g.engine('" + bound->text() + "'), ";
    }
    std::string text = kDemo;
    text.replace(text.find("%PORT%"), 6, std::to_string(port));
    text.replace(text.find("%ENGINES%"), 9, names);
    auto loaded = config::load_front_text("demo", text);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", loaded.error().c_str());
        return 1;
    }
    loaded->front.log = {common.log_level, common.log_format};
    const auto log = make_logger(common.log_format, common.log_level).logger;
    front::Front front(loop, loaded->front, deps_of(loaded->front, log));
    const auto hears = loop.on_signals({SIGTERM, SIGINT, SIGHUP}, [&](int) {
        front.drain([&] {
            loop.stop();
        });
    });
    if (!hears) {
        std::fprintf(stderr, "%s\n", hears.error().c_str());
        return 1;
    }
    auto bound = front.start();
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().c_str());
        return 1;
    }
    const std::string address = "http://" + bound->front().text();
    std::printf("%s\nask it: gatetiller query --server %s \"SELECT * FROM anything\"\n", address.c_str(),
                address.c_str());
    std::fflush(stdout);
    if (seconds > 0)
        loop.after(static_cast<Micros>(seconds * kSecondMicros), [&] {
            front.drain([&] {
                loop.stop();
            });
        });
    loop.run();
    return 0;
}

}  // namespace

void add_serve(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("serve", "run a front");
    auto file = std::make_shared<std::string>();
    auto check = std::make_shared<bool>(false);
    cmd->add_option("--config", *file, "the front's configuration (Jsonnet)")->required();
    cmd->add_flag("--check", *check, "read and check everything, start nothing");
    cmd->footer("Example: gatetiller serve --config examples/front.jsonnet --check");
    cmd->callback([=, &common] {
        auto loaded = config::load_front(*file);
        if (!loaded) {
            std::fprintf(stderr, "%s\n", loaded.error().c_str());
            common.code = 1;
        } else if (*check) {
            std::printf("%s: fine: %zu classes, %zu engines, %zu routes\n", file->c_str(),
                        loaded->front.module.classes.size(), loaded->front.engines.size(),
                        loaded->front.routes.size());
        } else {
            common.code = run_front(loaded->front, *file, common);
        }
    });
}

void add_engine(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("engine", "run a stand-in engine");
    auto file = std::make_shared<std::string>();
    cmd->add_option("--config", *file, "the engine's configuration (Jsonnet)")->required();
    cmd->footer("Example: gatetiller engine --config examples/engine.jsonnet");
    cmd->callback([=, &common] {
        common.code = run_engine(*file);
    });
}

void add_demo(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("demo", "a front and three stand-in engines in one go");
    auto port = std::make_shared<int>(0);
    auto seconds = std::make_shared<double>(0);
    cmd->add_option("--port", *port, "port of the front; 0: the kernel chooses")->check(CLI::Range(0, 65535));
    cmd->add_option("--seconds", *seconds, "end after this; 0: at SIGTERM");
    cmd->footer("Example: gatetiller demo --port 8080");
    cmd->callback([=, &common] {
        common.code = run_demo(*port, *seconds, common);
    });
}

void add_config(CLI::App& app, Common& common) {
    auto* cmd = app.add_subcommand("config", "what a configuration comes to");
    cmd->require_subcommand(1);
    const auto with_file = [&](const char* name, const char* what, auto then) {
        auto* sub = cmd->add_subcommand(name, what);
        auto file = std::make_shared<std::string>();
        sub->add_option("file", *file, "the configuration (Jsonnet)")->required();
        sub->callback([=, &common] {
            auto loaded = config::load_front(*file);
            if (!loaded)
                std::fprintf(stderr, "%s\n", loaded.error().c_str());
            else
                then(*loaded, *file);
            common.code = loaded ? 0 : 1;
        });
    };
    auto* diff = cmd->add_subcommand(
        "diff", "what differs between two, as a JSON patch (RFC 6902) from the first to the second");
    auto first = std::make_shared<std::string>(), second = std::make_shared<std::string>();
    diff->add_option("first", *first, "a configuration (Jsonnet)")->required();
    diff->add_option("second", *second, "another")->required();
    diff->footer("Example: gatetiller config diff old.jsonnet new.jsonnet");
    diff->callback([=, &common] {
        common.code = 1;
        const auto a = config::load_front(*first), b = config::load_front(*second);
        for (const auto* loaded : {&a, &b})
            if (!*loaded)
                return void(std::fprintf(stderr, "%s\n", loaded->error().c_str()));
        const auto patch =
            nlohmann::json::diff(nlohmann::json::parse(a->json), nlohmann::json::parse(b->json));
        std::printf("%s\n", patch.dump(2).c_str());
        common.code = 0;
    });
    with_file("show", "print it as JSON", [](const config::Loaded& l, const std::string&) {
        std::fputs(l.json.c_str(), stdout);
    });
    with_file("check", "check it", [](const config::Loaded&, const std::string& f) {
        std::printf("%s: fine\n", f.c_str());
    });
}

}  // namespace gatetiller::cli
