// `gatetiller lab day` and `gatetiller check`.
#include <cstdio>
#include <filesystem>

#include "cli/commands.hpp"
#include "config/settings.hpp"
#include "lab/bench_day.hpp"
#include "lab/books.hpp"
#include "lab/cost.hpp"
#include "lab/day.hpp"
#include "lab/virtual_day.hpp"

namespace gatetiller::cli {

namespace {

// A day drawn by the operators' bench; what it holds beyond a script is told.
Result<lab::Script> from_bench(const std::string& name, const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error{name + ": not JSON"};
    std::vector<std::string> left_out;
    const auto script = lab::script_of_bench_day(json, left_out);
    if (!script)
        return Error{name + ": " + script.error()};
    for (const auto& what : left_out)
        std::fprintf(stderr, "left out: %s\n", what.c_str());
    return lab::load_script(name, script->dump(1));
}

}  // namespace

void add_lab(CLI::App& app, Common& common) {
    auto* lab = app.add_subcommand("lab", "scripted days on loopback");
    lab->require_subcommand(1);
    auto* day =
        lab->add_subcommand("day", "a day with real fronts, engines and clients, judged by the seven rules");
    auto script = std::make_shared<std::string>(), folder = std::make_shared<std::string>("records/day");
    auto seed = std::make_shared<std::uint64_t>(0);
    day->add_option("script", *script, "the day's script (Jsonnet), or a day of the operators' bench (.json)")
        ->required();
    day->add_option("--folder", *folder, "for configurations, logs and records")->capture_default_str();
    day->add_option("--seed", *seed, "in place of the script's");
    day->footer("Example: gatetiller lab day examples/day.jsonnet --folder records/day");
    day->callback([=, &common] {
        common.code = 1;
        const auto text = config::whole_file(*script);
        auto loaded = text ? lab::load_script(*script, *text) : Result<lab::Script>(Error{text.error()});
        if (text && script->ends_with(".json"))
            loaded = from_bench(*script, *text);
        if (!loaded)
            return void(std::fprintf(stderr, "%s\n", loaded.error().c_str()));
        if (*seed != 0)
            loaded->seed = *seed;
        auto result =
            lab::run_day(*loaded, {std::filesystem::read_symlink("/proc/self/exe").string(), *folder});
        if (!result)
            return void(std::fprintf(stderr, "%s\n", result.error().c_str()));
        std::fputs(lab::report_of(*result).c_str(), stdout);
        common.code = result->judgement.violations.empty() && result->settled ? 0 : 1;
    });

    auto* cost =
        lab->add_subcommand("cost", "what a front costs: latency added, CPU, memory, statements a second");
    auto o = std::make_shared<lab::CostOptions>();
    o->folder = "records/cost";
    cost->add_option("--folder", o->folder, "for configurations and logs")->capture_default_str();
    cost->add_option("--seconds", o->seconds, "of each phase")->capture_default_str();
    cost->add_option("--waiting", o->waiting, "statements that wait, and idle connections")
        ->capture_default_str();
    cost->add_option("--clients", o->clients, "that ask without a pause")->capture_default_str();
    cost->add_flag("--ledger", o->ledger, "a front with a ledger against one without, and nothing else");
    cost->footer("Example: gatetiller lab cost --seconds 4");
    cost->callback([=, &common] {
        o->program = std::filesystem::read_symlink("/proc/self/exe").string();
        const auto table = lab::measure_cost(*o);
        if (table)
            std::fputs(table->c_str(), stdout);
        else
            std::fprintf(stderr, "%s\n", table.error().c_str());
        common.code = table ? 0 : 1;
    });

    auto* ledger = lab->add_subcommand(
        "ledger", "a day in virtual time, with killed fronts and failing engines, settled to the query");
    auto v = std::make_shared<lab::VirtualDayOptions>();
    v->folder = "records/ledger";
    ledger->add_option("--folder", v->folder, "for the ledgers")->capture_default_str();
    ledger->add_option("--requests", v->requests, "of the day")
        ->check(CLI::Range(100, 10'000'000))
        ->capture_default_str();
    ledger->add_option("--rate", v->rate, "requests a second")
        ->check(CLI::Range(1, 100'000))
        ->capture_default_str();
    ledger->add_option("--kills", v->kills, "of fronts, at drawn moments")->capture_default_str();
    ledger->add_option("--fronts", v->fronts, "fronts")->check(CLI::Range(1, 50))->capture_default_str();
    ledger->add_option("--engines", v->engines, "stand-in engines")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    ledger->add_option("--seed", v->seed, "of the day")->capture_default_str();
    ledger->footer("Example: gatetiller lab ledger --requests 100000 --kills 200 --seed 1");
    ledger->callback([=, &common] {
        common.code = 1;
        std::string reports[2];
        for (auto& report : reports) {  // twice: the same to the byte
            const auto done = lab::run_virtual_day(*v);
            if (!done)
                return void(std::fprintf(stderr, "%s\n", done.error().c_str()));
            report = done->report;
            if (&report != reports)
                break;
            std::printf(
                "%zu requests in %.1f virtual seconds, %llu events; fronts killed %zu times, %zu gaps, the "
                "longest %lld ms\n"
                "work logged by engines %lld us, of it in the report %lld us\n%s",
                done->asked, done->virtual_seconds, static_cast<unsigned long long>(done->events),
                done->killed, done->gaps, static_cast<long long>(done->longest_gap / kMillisecond),
                static_cast<long long>(done->logged), static_cast<long long>(done->charged),
                (done->findings + lab::report_of(done->judgement)).c_str());
            if (done->explained && done->logged == done->charged && done->judgement.violations.empty())
                common.code = 0;
        }
        std::printf("%s\n", reports[0] == reports[1] ? "the same day twice gave the same report"
                                                     : "THE SAME DAY TWICE GAVE TWO REPORTS");
        if (reports[0] != reports[1])
            common.code = 1;
    });

    auto* books = lab->add_subcommand("books", "a large month's ledger: writing, restart, report");
    auto b = std::make_shared<lab::BooksOptions>();
    b->folder = "records/books";
    books->add_option("--folder", b->folder, "for its files")->capture_default_str();
    books->add_option("--requests", b->requests, "of the month")
        ->check(CLI::Range(1000, 200'000'000))
        ->capture_default_str();
    books->add_option("--seed", b->seed, "of what is drawn")->capture_default_str();
    books->add_flag("!--no-journal", b->journal, "without the engines' journals");
    books->footer("Example: gatetiller lab books --requests 1000000");
    books->callback([=, &common] {
        const auto table = lab::measure_books(*b);
        if (table)
            std::fputs(table->c_str(), stdout);
        else
            std::fprintf(stderr, "%s\n", table.error().c_str());
        common.code = table ? 0 : 1;
    });

    auto* check = app.add_subcommand("check", "the seven rules over what was recorded");
    auto paths = std::make_shared<std::vector<std::string>>();
    check->add_option("records", *paths, "folders of days, or files of records")->required();
    check->footer("Example: gatetiller check records/day");
    check->callback([=, &common] {
        common.code = 1;
        const auto records = lab::load_records(*paths);
        if (!records)
            return void(std::fprintf(stderr, "%s\n", records.error().c_str()));
        const auto judgement = lab::judge(*records);
        std::fputs(lab::report_of(judgement).c_str(), stdout);
        common.code = judgement.violations.empty() ? 0 : 1;
    });
}

}  // namespace gatetiller::cli
