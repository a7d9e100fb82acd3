#include "lab/books.hpp"

#include <sys/resource.h>

#include <ctime>
#include <filesystem>
#include <fstream>

#include "base/random.hpp"
#include "report/report.hpp"
#include "statement/completed.hpp"

namespace gatetiller::lab {
namespace {

constexpr int kAtOnce = 2000;  // requests of a batch, as a front of 20,000 a second has them

double seconds_now() {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

double peak_mib() {
    rusage u{};
    getrusage(RUSAGE_SELF, &u);
    return static_cast<double>(u.ru_maxrss) / 1024;
}

class Maker {
public:
    explicit Maker(const BooksOptions& o)
        : o_(o),
          random_(o.seed),
          from_(*report::local_time("UTC", "2026-11-01")),
          step_(30 * 86'400 * kSecondMicros / std::max<std::int64_t>(1, o.requests)) {
        for (int i = 0; i < o.teams; ++i)
            who_.push_back(std::make_shared<const decide::Requester>(
                decide::Requester{"user-" + std::to_string(i * 7), "source-" + std::to_string(i % 5),
                                  "team=" + std::to_string(i), i % 4 == 0 ? "report" : "lookup",
                                  "tenant-" + std::to_string(i % 12)}));
    }

    Result<std::string> run() {
        const std::string file = o_.folder + "/month.ledger", events = o_.folder + "/month.events";
        for (const char* part : {"", "-wal", "-shm"})
            std::filesystem::remove(file + part);
        std::string out = "| what | measured |\n| --- | --- |\n";
        const auto line = [&](const std::string& what, const char* format, auto... values) {
            char text[256];
            std::snprintf(text, sizeof text, format, values...);
            out += "| " + what + " | " + text + " |\n";
        };
        double t = seconds_now();
        if (auto f = write(file, events))
            return Error{f.text};
        double took = seconds_now() - t - event_seconds_;
        line("written, in batches of " + std::to_string(kAtOnce) + " requests, each on the disk",
             "%lld requests, %lld attempts in %.1f s: %.0f requests a second",
             static_cast<long long>(o_.requests), static_cast<long long>(attempts_), took,
             static_cast<double>(o_.requests) / took);
        line("the file", "%.0f MiB, %.0f bytes a request",
             static_cast<double>(std::filesystem::file_size(file)) / 1048576,
             static_cast<double>(std::filesystem::file_size(file)) / static_cast<double>(o_.requests));
        t = seconds_now();
        store::Ledger ledger;
        store::RecoveredState taken;
        if (auto f = ledger.open(file, {}))
            return Error{f.text};
        if (auto f = ledger.begin_incarnation("00000000000000ff", "front-1",
                                              from_ + 31 * 86'400 * kSecondMicros, taken))
            return Error{f.text};
        line("a front on it again after a kill", "%.3f s, %lld requests in hand marked as interrupted",
             seconds_now() - t, static_cast<long long>(taken.requests_interrupted));
        ledger.close();
        store::AccountingStore books;
        // Without journals the report is made of the ledger itself, which is of the books' form.
        const std::string books_file = o_.journal ? o_.folder + "/month.books" : file;
        if (o_.journal)
            for (const char* part : {"", "-wal", "-shm"})
                std::filesystem::remove(books_file + part);
        if (auto f = books.open(books_file))
            return Error{f.text};
        if (o_.journal) {
            t = seconds_now();
            if (auto c = books.collect_ledger(file); !c)
                return Error{c.error()};
            line("collected into the books", "%.1f s", seconds_now() - t);
            t = seconds_now();
            std::ifstream lines(events);
            auto c = books.collect_journal("events", lines);
            if (!c)
                return Error{c.error()};
            line("the engines' journals collected", "%.1f s, %lld queries, %.0f MiB of JSON",
                 seconds_now() - t, static_cast<long long>(c->events),
                 static_cast<double>(std::filesystem::file_size(events)) / 1048576);
        }
        const double before = peak_mib();
        t = seconds_now();
        auto calendar = report::Calendar::month("Europe/Budapest", "2026-11");
        auto r = report::make_report(books, settlement(), std::move(*calendar), {});
        if (!r)
            return Error{r.error()};
        line("the month's report", "%.1f s, %zu lines; memory at most %.0f MiB (%.0f before it)",
             seconds_now() - t, r->lines.size(), peak_mib(), before);
        std::string findings;
        for (int i = 0; i < decide::kFindings; ++i)
            if (const auto& f = r->findings[static_cast<std::size_t>(i)]; f.queries > 0)
                findings += std::string(findings.empty() ? "" : ", ") +
                            decide::name_of(static_cast<decide::SettlementFinding>(i)) + " " +
                            std::to_string(f.queries);
        line("findings", "%s", findings.c_str());
        return out;
    }

private:
    report::Settlement settlement() const {
        report::Settlement s;
        s.zone = "Europe/Budapest";
        for (int i = 0; i < o_.teams; ++i) {
            decide::TeamRule rule;
            rule.team = "team-" + std::to_string(i);
            rule.tags = {"team=" + std::to_string(i)};
            s.rules.push_back(std::move(rule));
        }
        decide::Price p;
        p.rates = {125'000, 1000, 2000, 50'000'000};
        s.prices.push_back(p);
        return s;
    }
    store::StoreFailure write(const std::string& file, const std::string& events) {
        store::Ledger ledger;
        if (auto f = ledger.open(file, {}))
            return f;
        store::RecoveredState taken;
        const std::string life = "00000000000000f1";
        if (auto f = ledger.begin_incarnation(life, "front-1", from_, taken))
            return f;
        std::ofstream journal;
        if (o_.journal)
            journal.open(events, std::ios::trunc);
        store::Batch b;
        for (std::int64_t n = 1; n <= o_.requests; ++n) {
            const Micros at = from_ + n * step_;
            const bool in_hand = n > o_.requests - o_.in_hand;
            decide::RequestRow r;
            r.number = static_cast<std::uint32_t>(n), r.received_at = at;
            r.requester = who_[random_.below(who_.size())];
            r.id = "20261101_000000_" + std::to_string(n) + "_month";
            r.state = in_hand ? decide::RequestState::open : decide::RequestState::served;
            r.attempts = random_.chance(0.1) ? 2 : 1;
            r.ended_after = 200'000, r.closed_after = 210'000;
            for (std::uint32_t i = 0; i < r.attempts; ++i) {
                decide::AttemptRow a;
                a.request = r.number, a.number = i;
                a.engine = "node-" + std::to_string(random_.below(60)),
                a.kind = random_.chance(0.7) ? "std" : "big";
                a.engine_id = "20261101_" + std::to_string(n) + "_" + std::to_string(i) + "_query";
                a.work = static_cast<Micros>(random_.below(2'000'000)), a.peak_bytes = 64 << 20;
                a.ended_after = 200'000, a.grant_bytes = 128 << 20;
                const bool lost = i + 1 < r.attempts;
                a.is_final = !lost && !in_hand;
                a.state = in_hand ? decide::AttemptState::in_flight
                          : lost  ? decide::AttemptState::connection_lost
                                  : decide::AttemptState::answered;
                ++attempts_;
                if (o_.journal) {
                    const double t = seconds_now();
                    statement::Completed c;
                    c.id = a.engine_id, c.state = "FINISHED", c.user = r.requester->user,
                    c.source = r.requester->source;
                    c.tags = {decide::format_attempt_tag({life, r.number, i}), r.requester->tags};
                    c.server = a.engine, c.cpu = a.work, c.peak_memory_bytes = a.peak_bytes;
                    c.created = at, c.ended = at + 200'000;
                    journal << statement::write_completed(c) << '\n';
                    event_seconds_ += seconds_now() - t;
                }
                b.rows.emplace_back(std::move(a));
            }
            b.rows.emplace_back(std::move(r));
            b.complete_until = at;
            if (n % kAtOnce != 0 && n != o_.requests)
                continue;
            if (auto f = ledger.write(b))
                return f;
            b.rows.clear();
        }
        return {};  // no end of life: a kill
    }

    const BooksOptions& o_;
    Random random_;
    Micros from_, step_;
    std::vector<std::shared_ptr<const decide::Requester>> who_;
    std::int64_t attempts_ = 0;
    double event_seconds_ = 0;
};

}  // namespace

Result<std::string> measure_books(const BooksOptions& o) {
    std::error_code error;
    std::filesystem::create_directories(o.folder, error);
    if (error)
        return Error{o.folder + ": " + error.message()};
    return Maker(o).run();
}

}  // namespace gatetiller::lab
