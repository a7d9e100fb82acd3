// `gatetiller report` and `gatetiller ledger`.
#include "report/report.hpp"

#include <cstdio>
#include <ctime>
#include <fstream>

#include "cli/commands.hpp"
#include "config/settings.hpp"

namespace gatetiller::cli {
namespace {

struct Options {
    std::string books, settlement, month, from, until, by = "team", format = "table", out;
    std::vector<std::string> ledgers, journals, list;
    std::int64_t before = 0, after = 0;
};

int failed(const std::string& text) {
    std::fprintf(stderr, "%s\n", text.c_str());
    return 1;
}

Micros wall_now() {
    timespec t{};
    ::clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * kSecondMicros + t.tv_nsec / 1000;
}

// Books kept in a file, or made for this one report.
Result<bool> open_books(store::AccountingStore& books, const Options& o) {
    if (o.books.empty() && o.ledgers.empty())
        return Error{"nothing to report on: give --books, or --ledger and --journal files"};
    if (auto f = books.open(o.books.empty() ? ":memory:" : o.books))
        return Error{f.text};
    const auto told = [](const std::string& file, const Result<store::CollectResult>& c) {
        std::fprintf(stderr,
                     "%s: %lld requests and %lld attempts new or told more of, %lld known; %lld queries new, "
                     "%lld known\n",
                     file.c_str(), static_cast<long long>(c->requests), static_cast<long long>(c->attempts),
                     static_cast<long long>(c->known_requests), static_cast<long long>(c->events),
                     static_cast<long long>(c->known_events));
        for (const auto& t : c->problems)
            std::fprintf(stderr, "%s\n", t.c_str());
    };
    for (const auto& file : o.ledgers) {
        const auto c = books.collect_ledger(file);
        if (!c)
            return Error{c.error()};
        told(file, c);
    }
    for (const auto& file : o.journals) {
        std::ifstream lines(file);
        if (!lines)
            return Error{file + ": cannot be read"};
        const auto c = books.collect_journal(file, lines);
        if (!c)
            return Error{c.error()};
        told(file, c);
    }
    return true;
}

Result<report::Calendar> calendar_of(const Options& o, const std::string& zone) {
    return o.month.empty() ? report::Calendar::days(zone, o.from, o.until)
                           : report::Calendar::month(zone, o.month);
}

Result<report::Settlement> settlement_of(const Options& o) {
    return o.settlement.empty() ? Result<report::Settlement>(report::Settlement{})
                                : report::load_settlement(o.settlement);
}

Result<report::Report> report_of(store::AccountingStore& books, const Options& o) {
    const auto settlement = settlement_of(o);
    if (!settlement)
        return Error{settlement.error()};
    auto calendar = calendar_of(o, settlement->zone);
    if (!calendar)
        return Error{calendar.error()};
    report::Ask ask;
    for (const auto& name : o.list) {
        int found = -1;
        for (int i = 0; i < decide::kFindings; ++i)
            if (name == decide::name_of(static_cast<decide::SettlementFinding>(i)))
                found = i;
        if (found < 0)
            return Error{"'" + name + "' is not a finding; see docs/operators/charge-back.md"};
        ask.list.push_back(static_cast<decide::SettlementFinding>(found));
    }
    return report::make_report(books, *settlement, std::move(*calendar), ask);
}

int put_out(const std::string& text, const std::string& file) {
    if (file.empty()) {
        std::fputs(text.c_str(), stdout);
        return 0;
    }
    std::ofstream out(file, std::ios::binary);
    out << text << std::flush;
    return out ? 0 : failed(file + ": cannot be written");
}

int show(const Options& o) {
    const auto by = report::read_columns(o.by);
    if (!by)
        return failed(by.error());
    store::AccountingStore books;
    if (const auto opened = open_books(books, o); !opened)
        return failed(opened.error());
    const auto r = report_of(books, o);
    if (!r)
        return failed(r.error());
    return put_out(o.format == "csv"    ? report::to_csv(*r, *by)
                   : o.format == "json" ? report::to_json(*r).dump(2) + "\n"
                   : o.format == "html" ? report::to_html(*r, *by)
                                        : report::to_table(*r, *by),
                   o.out);
}

int reconcile(const Options& o) {
    store::AccountingStore books;
    if (const auto opened = open_books(books, o); !opened)
        return failed(opened.error());
    const auto r = report_of(books, o);
    if (!r)
        return failed(r.error());
    const int wrote = put_out(report::findings_text(*r), o.out);
    return wrote != 0 || !report::all_explained(*r) ? 1 : 0;
}

int close(const Options& o) {
    if (o.books.empty())
        return failed("versions are kept with the books: give --books");
    store::AccountingStore books;
    if (const auto opened = open_books(books, o); !opened)
        return failed(opened.error());
    const auto r = report_of(books, o);
    if (!r)
        return failed(r.error());
    const auto kept = report::keep_version(books, *r, wall_now());
    if (!kept)
        return failed(kept.error());
    std::printf("version %lld%s\n%s", static_cast<long long>(kept->number),
                kept->fresh ? "" : ", unchanged since it was made", kept->difference.c_str());
    return 0;
}

int diff(const Options& o) {
    store::AccountingStore books;
    if (const auto f = books.open(o.books, true))
        return failed(f.text);
    const auto settlement = settlement_of(o);
    if (!settlement)
        return failed(settlement.error());
    const auto calendar = calendar_of(o, settlement->zone);
    if (!calendar)
        return failed(calendar.error());
    const auto all = report::versions(books, report::period_of(*calendar));
    if (!all)
        return failed(all.error());
    const auto has = [&](std::int64_t n) {
        return n >= 1 && n <= static_cast<std::int64_t>(all->size());
    };
    if (!has(o.before) || !has(o.after))
        return failed("this period has " + std::to_string(all->size()) + " versions, from 1 on");
    const auto json = [&](std::int64_t n) {
        return nlohmann::ordered_json::parse((*all)[static_cast<std::size_t>(n) - 1].text);
    };
    std::fputs(report::difference(json(o.before), json(o.after)).c_str(), stdout);
    return 0;
}

int check_ledger(const std::string& file) {
    store::Ledger ledger;
    if (const auto f = ledger.open(file, {"", true}))
        return failed(f.text);
    std::int64_t requests = 0, attempts = 0, damaged = 0;
    const auto f = ledger.for_each_request(
        [&](const store::RequestAccount& w) {
            ++requests;
            attempts += static_cast<std::int64_t>(w.attempts.size());
        },
        [&](const std::string& text) {
            ++damaged;
            std::printf("%s\n", text.c_str());
        });
    if (f)
        return failed(f.text);
    std::vector<store::Incarnation> lives;
    std::vector<std::pair<std::string, store::LedgerGap>> gaps;
    if (const auto failure = ledger.incarnations(lives))
        return failed(failure.text);
    if (const auto failure = ledger.gaps(gaps))
        return failed(failure.text);
    std::printf("%lld requests, %lld attempts, %zu lives, %zu gaps, %lld places damaged\n",
                static_cast<long long>(requests), static_cast<long long>(attempts), lives.size(), gaps.size(),
                static_cast<long long>(damaged));
    return damaged == 0 ? 0 : 1;
}

void add_ledger(CLI::App& app, Common& common) {
    auto* ledger = app.add_subcommand("ledger", "a front's ledger: check it, copy it while it is written");
    ledger->require_subcommand(1);
    auto file = std::make_shared<std::string>(), to = std::make_shared<std::string>();
    auto* check = ledger->add_subcommand("check", "read every row and tell what is damaged");
    check->add_option("file", *file, "the ledger")->required();
    check->footer("Example: gatetiller ledger check front-1.ledger");
    check->callback([=, &common] {
        common.code = check_ledger(*file);
    });
    auto* snapshot = ledger->add_subcommand("snapshot", "a whole copy, while the front goes on writing");
    snapshot->add_option("file", *file, "the ledger")->required();
    snapshot->add_option("copy", *to, "the copy's file")->required();
    snapshot->footer("Example: gatetiller ledger snapshot front-1.ledger copies/front-1.ledger");
    snapshot->callback([=, &common] {
        store::Ledger from;
        store::StoreFailure f = from.open(*file, {"", true});
        if (!f)
            f = from.snapshot(*to);
        common.code = f ? failed(f.text) : 0;
    });
}

}  // namespace

void add_report(CLI::App& app, Common& common) {
    add_ledger(app, common);
    auto* report =
        app.add_subcommand("report", "charge-back by team, from fronts' ledgers and engines' journals");
    report->require_subcommand(1);
    auto o = std::make_shared<Options>();
    const auto add = [&](const char* name, const char* what, int (*run)(const Options&), bool period) {
        auto* sub = report->add_subcommand(name, what);
        sub->add_option("--books", o->books, "file that keeps what was collected");
        sub->add_option("--ledger", o->ledgers, "a front's ledger, taken into the books first");
        sub->add_option("--journal", o->journals, "an engine's query-completed events, one a line, likewise");
        if (period) {
            sub->add_option("--settlement", o->settlement, "teams, prices and time zone (Jsonnet)");
            auto* month = sub->add_option("--month", o->month, "such as 2026-11");
            auto* from = sub->add_option("--from", o->from, "first day, such as 2026-11-01")->excludes(month);
            auto* until = sub->add_option("--until", o->until, "the day after the last")->excludes(month);
            from->needs(until);
            until->needs(from);
        }
        sub->callback([=, &common] {
            if (period && o->month.empty() && o->from.empty()) {
                std::fprintf(stderr, "which period? --month 2026-11, or --from and --until\n");
                common.code = 2;
            } else {
                common.code = run(*o);
            }
        });
        return sub;
    };
    add(
        "collect", "take ledgers and journals into the books",
        [](const Options& options) {
            if (options.books.empty())
                return failed("--books names the file to collect into");
            store::AccountingStore books;
            const auto opened = open_books(books, options);
            return opened ? 0 : failed(opened.error());
        },
        false)
        ->footer(
            "Example: gatetiller report collect --books november.books --ledger front-1.ledger --journal "
            "e1.jsonl");
    auto* shown = add("show", "the report of a period", show, true);
    shown->add_option("--by", o->by, "any of team,class,day,kind")->capture_default_str();
    shown->add_option("--format", o->format, "table, csv, json or html")
        ->check(CLI::IsMember({"table", "csv", "json", "html"}))
        ->capture_default_str();
    shown->add_option("--out", o->out, "a file in place of standard output");
    shown->footer(
        "Example: gatetiller report show --books november.books --settlement examples/settlement.jsonnet "
        "--month 2026-11 --by team,class");
    auto* matched =
        add("reconcile", "ledgers against journals, query by query; fails where anything is unexplained",
            reconcile, true);
    matched->add_option("--list", o->list, "list the queries of this finding too");
    matched->add_option("--out", o->out, "a file in place of standard output");
    matched->footer(
        "Example: gatetiller report reconcile --books november.books --month 2026-11 --list unseen_end");
    add("close", "keep this report as the period's next version, and print what differs from the last", close,
        true)
        ->footer(
            "Example: gatetiller report close --books november.books --settlement s.jsonnet --month 2026-11");
    auto* differing = add("diff", "what differs between two versions", diff, true);
    differing->add_option("before", o->before, "a version's number")->required();
    differing->add_option("after", o->after, "another")->required();
    differing->footer(
        "Example: gatetiller report diff --books november.books --settlement s.jsonnet --month 2026-11 1 2");
}

}  // namespace gatetiller::cli
