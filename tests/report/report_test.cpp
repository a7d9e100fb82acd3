// Reports: days of time zones, teams by date, exact sums whatever the grouping, versions.
#include "report/report.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "base/random.hpp"
#include "base/text.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::report {
namespace {

using decide::AttemptState;
using decide::RequestState;
using decide::SettlementFinding;
using store::AttemptRow;
using store::RequestRow;

Calendar month(const std::string& zone, const std::string& text) {
    auto c = Calendar::month(zone, text);
    if (!c)
        throw std::runtime_error(c.error());
    return *c;
}

TEST(Calendar, DaysAreAsLongAsTheZoneMakesThem) {
    constexpr Micros kHour = 3600 * kSecondMicros;
    const auto autumn = month("Europe/Budapest", "2026-10"), spring = month("Europe/Budapest", "2026-03");
    EXPECT_EQ(autumn.length(24), 25 * kHour);  // 25 October
    EXPECT_EQ(spring.length(28), 23 * kHour);
    // Where midnight itself is skipped, the day begins at one o'clock.
    const auto skipped = month("America/Sao_Paulo", "2018-11");
    EXPECT_EQ(skipped.length(3), 23 * kHour);
    EXPECT_EQ(skipped.dates()[3], "2018-11-04");
    // Asia/Tokyo's November begins nine hours before London's; each moment is in one month and in one day.
    EXPECT_EQ(month("Asia/Tokyo", "2026-11").from() + 9 * kHour, month("Europe/London", "2026-11").from());
    Random random(3);
    for (const char* zone :
         {"Europe/Budapest", "America/Santiago", "Australia/Lord_Howe", "Asia/Tokyo", "UTC"}) {
        std::vector<Calendar> year;
        for (int m = 1; m <= 12; ++m)
            year.push_back(month(zone, "2026-" + std::string(m < 10 ? "0" : "") + std::to_string(m)));
        for (std::size_t i = 0; i + 1 < 12; ++i)
            EXPECT_EQ(year[i].until(), year[i + 1].from()) << zone;
        for (int i = 0; i < 500; ++i) {
            const Micros t = year[0].from() + static_cast<Micros>(random.below(static_cast<std::uint64_t>(
                                                  year[11].until() - year[0].from())));
            int in = 0;
            for (const auto& c : year)
                if (c.holds(t)) {
                    ++in;
                    const int day = c.day_of(t);
                    ASSERT_GE(day, 0);
                    ASSERT_LT(static_cast<std::size_t>(day), c.dates().size());
                    Micros start = c.from();
                    for (int d = 0; d < day; ++d)
                        start += c.length(d);
                    EXPECT_TRUE(t >= start && t < start + c.length(day));
                }
            EXPECT_EQ(in, 1) << zone << " " << t;
        }
    }
    EXPECT_NE(Calendar::month("Mars/Base", "2026-11").error().find("'Mars/Base' is not a time zone"),
              std::string::npos);
    EXPECT_FALSE(Calendar::month("UTC", "2026-13"));
    EXPECT_FALSE(Calendar::days("UTC", "2026-11-02", "2026-11-02"));
    EXPECT_FALSE(Calendar::days("UTC", "2026-02-30", "2026-03-02"));
    EXPECT_EQ(*local_time("UTC", "1970-01-02T00:00:01"), 86'401 * kSecondMicros);
    EXPECT_FALSE(local_time("UTC", "2026-11-01 10:00"));
}

constexpr const char* kSettlement = R"({
  zone: 'Europe/Budapest', currency: 'EUR', decimals: 2,
  teams: { old: { names: [{ name: 'Meters' }, { from: '2026-10-25T12:00', name: 'Metering' }] },
           new: { name: 'Split <b>' }, rest: {} },
  rules: [ { team: 'new', from: '2026-10-15', tenant: 'east', tags: ['x=1'] },
           { team: 'old', until: '2026-10-28', tenant: 'east' },
           { team: 'rest', tenant: 'east' }, { team: 'rest', user: 'u2' } ],
  prices: [ { until: '2026-10-20', kind: 'big', core_second: '0.3', gb_spilled: '0.1' },
            { until: '2026-10-20', core_second: '0.1' },
            { from: '2026-10-20', core_second: '0.123456789', gb_second_granted: '0.000000001',
              gb_second_used: '0.000000003', gb_spilled: '1' } ],
})";

class ReportTest : public ::testing::Test {
protected:
    ReportTest() {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        auto s = load_settlement_text("s", kSettlement);
        if (!s)
            throw std::runtime_error(s.error());
        settlement = *s;
    }
    ~ReportTest() override {
        std::filesystem::remove_all(folder);
    }

    // A front's ledger over October with everything in it, drawn.
    std::string ledger(int front, Random& random, int requests) {
        const std::string file = folder + "/f" + std::to_string(front);
        store::LedgerWriter w({file, "front-" + std::to_string(front),
                               "00000000000000a" + std::to_string(front), 100 * kMillisecond});
        const auto c = month("Europe/Budapest", "2026-10");
        std::vector<Micros> times;
        for (int i = 0; i < requests; ++i)
            times.push_back(c.from() - 48 * 3600 * kSecondMicros +
                            static_cast<Micros>(random.below(static_cast<std::uint64_t>(
                                c.until() - c.from() + 96 * 3600 * kSecondMicros))));
        std::sort(times.begin(), times.end());
        for (const Micros t : times) {
            RequestRow r;
            r.requester = std::make_shared<const decide::Requester>(decide::Requester{
                "u" + std::to_string(random.below(3)), "s", random.chance(0.3) ? "x=1" : "",
                random.chance(0.5) ? "short" : "long", random.chance(0.5) ? "east" : "west"});
            r.received_at = t;
            EXPECT_TRUE(w.add_request(r, t));
            r.attempts = static_cast<std::uint32_t>(random.below(3));
            for (std::uint32_t n = 0; n < r.attempts; ++n) {
                AttemptRow a;
                a.request = r.number, a.number = n, a.engine = "e",
                a.kind = random.chance(0.5) ? "big" : "std";
                a.state = static_cast<AttemptState>(random.below(decide::kAttemptStates));
                a.work = static_cast<Micros>(random.below(90'000'000));
                a.ended_after = a.work, a.grant_bytes = 1'000'000'007, a.peak_bytes = 777'777'777;
                a.spilled_bytes = static_cast<std::int64_t>(random.below(3'000'000'000));
                w.update(a, t);
            }
            r.state = static_cast<RequestState>(random.below(decide::kRequestStates));
            w.update(r, t);
        }
        (void)w.finish(0, times.back());
        return file;
    }
    Report report(store::AccountingStore& books, const std::string& which = "2026-10") {
        auto r = make_report(books, settlement, month(settlement.zone, which), {});
        if (!r)
            throw std::runtime_error(r.error());
        return *r;
    }
    std::string folder = ::testing::TempDir() + "report-" + std::to_string(::getpid());
    Settlement settlement;
};

std::vector<std::vector<std::string>> csv(const std::string& text) {
    std::vector<std::vector<std::string>> rows;
    for (const auto line : split(text, '\n')) {
        rows.emplace_back();
        for (const auto cell : split(line.substr(0, line.find('\r')), ','))
            rows.back().emplace_back(cell);
    }
    return rows;
}

TEST_F(ReportTest, AnyGroupingSumsToTheSameAndCollectingOrderDoesNotShow) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        const auto first = ledger(0, random, 400), second = ledger(1, random, 300);
        store::AccountingStore one, other;
        ASSERT_FALSE(one.open(":memory:"));
        ASSERT_FALSE(other.open(":memory:"));
        for (const auto& file : {first, second})
            ASSERT_TRUE(one.collect_ledger(file));
        for (const auto& file : {second, first, second})
            ASSERT_TRUE(other.collect_ledger(file));
        const auto r = report(one);
        EXPECT_EQ(to_json(r).dump(), to_json(report(other)).dump());
        std::map<std::string, std::int64_t> sums;
        for (const char* by : {"team", "class", "day", "kind", "team,class", "day,kind,team,class"}) {
            const auto rows = csv(to_csv(r, *read_columns(by)));
            const auto heads = rows[0];
            ASSERT_GT(rows.size(), 1u);
            std::map<std::string, std::int64_t> sum;
            for (std::size_t i = 1; i < rows.size(); ++i)
                for (const char* column : {"requests", "attempts", "core_s", "EUR_all"}) {
                    const auto at = static_cast<std::size_t>(std::find(heads.begin(), heads.end(), column) -
                                                             heads.begin());
                    std::string digits = rows[i][at];
                    std::erase(digits, '.');
                    if (std::string(column) == "core_s")
                        continue;  // cut to milliseconds cell by cell
                    sum[column] += *to_number<std::int64_t>(digits);
                }
            if (sums.empty())
                sums = sum;
            EXPECT_EQ(sum, sums) << by;
        }
        decide::ChargeLine total;
        for (const auto& [key, line] : r.lines)
            total += line;
        EXPECT_EQ(decide::decimal_text(total.amount[0] + total.amount[1], 2),
                  std::to_string(sums["EUR_all"] / 100) + "." + (sums["EUR_all"] % 100 < 10 ? "0" : "") +
                      std::to_string(sums["EUR_all"] % 100));
        EXPECT_LT(sums["requests"], 700);  // those before and after the month are not in it
    }
}

TEST_F(ReportTest, TeamsAreThoseOfTheArrival) {
    decide::Teams teams(settlement.rules, settlement.teams);
    const auto at = [&](const std::string& text) {
        return *local_time(settlement.zone, text);
    };
    const decide::Requester east{"u", "s", "a=2,x=1", "c", "east"}, plain{"u", "s", "", "c", "east"};
    EXPECT_EQ(teams.team_of(east, at("2026-10-14T23:59:59")), "old");
    EXPECT_EQ(teams.team_of(east, at("2026-10-15")), "new");  // split off
    EXPECT_EQ(teams.team_of(plain, at("2026-10-15")), "old");
    EXPECT_EQ(teams.team_of(plain, at("2026-10-28") - 1), "old");
    EXPECT_EQ(teams.team_of(plain, at("2026-10-28")), "rest");  // merged into another
    EXPECT_EQ(teams.team_of({"u2", "s", "", "c", "west"}, 0), "rest");
    EXPECT_EQ(teams.team_of({"u9", "s", "", "c", "west"}, 0), "");
    EXPECT_EQ(teams.name_at("old", at("2026-10-25")), "Meters");
    EXPECT_EQ(teams.name_at("old", at("2026-10-25T12:00")), "Metering");
    EXPECT_EQ(teams.former_names("old", at("2026-10-01"), at("2026-11-01")),
              std::vector<std::string>{"Meters"});
    EXPECT_TRUE(teams.former_names("old", at("2026-11-01"), at("2026-12-01")).empty());
}

// A client whose front went silent asks the other one with the same key: two requests, one of them a repeat,
// and the work of both is charged.
TEST_F(ReportTest, ARepeatThroughAnotherFrontIsShownAsSuch) {
    const Micros at = *local_time(settlement.zone, "2026-10-31T23:59:59");
    store::AccountingStore books;
    ASSERT_FALSE(books.open(":memory:"));
    for (int front = 0; front < 2; ++front) {
        const std::string file = folder + "/k" + std::to_string(front);
        store::LedgerWriter w({file, "front", "00000000000000b" + std::to_string(front), 100 * kMillisecond});
        RequestRow r;
        r.requester =
            std::make_shared<const decide::Requester>(decide::Requester{"u2", "s", "", "load", "west"});
        r.key = "k1", r.key_window = 25 * kSecondMicros, r.attempts = 1;
        // The second front's clock stepped back: its request stands before the first one's, in the same
        // month.
        r.received_at = at - front * 2 * kSecondMicros;
        ASSERT_TRUE(w.add_request(r, r.received_at));
        AttemptRow a;
        a.request = r.number, a.engine = "e", a.kind = "std", a.work = kSecondMicros;
        a.state = front == 0 ? AttemptState::connection_lost : AttemptState::answered;
        w.update(a, r.received_at);
        r.state = front == 0 ? RequestState::interrupted : RequestState::served;
        w.update(r, r.received_at);
        (void)w.finish(0, r.received_at);
        ASSERT_TRUE(books.collect_ledger(file));
    }
    const auto r = report(books);
    ASSERT_EQ(r.lines.size(), 1u);
    const auto& line = r.lines.begin()->second;
    EXPECT_EQ(line.repeats, 1);
    EXPECT_EQ(line.attempts, 2);
    EXPECT_EQ(line.additional_attempts, 0);
    EXPECT_EQ(line.total_work(), 2 * kSecondMicros);
    EXPECT_EQ(line.work[static_cast<std::size_t>(decide::WastedWork::lost)], kSecondMicros);
}

TEST_F(ReportTest, ALateCorrectionIsANewVersionAndIsPrinted) {
    Random random(9);
    const auto file = ledger(0, random, 50);
    store::AccountingStore books;
    ASSERT_FALSE(books.open(folder + "/books"));
    ASSERT_TRUE(books.collect_ledger(file));
    auto kept = keep_version(books, report(books), 1);
    ASSERT_TRUE(kept && kept->fresh && kept->number == 1);
    ASSERT_TRUE(books.collect_ledger(file));
    kept = keep_version(books, report(books), 2);
    ASSERT_TRUE(kept && !kept->fresh && kept->number == 1);
    ASSERT_TRUE(books.collect_ledger(ledger(1, random, 5)));
    kept = keep_version(books, report(books), 3);
    ASSERT_TRUE(kept && kept->fresh && kept->number == 2);
    EXPECT_NE(kept->difference.find("total: requests/"), std::string::npos) << kept->difference;
    // Another month's versions are its own.
    kept = keep_version(books, report(books, "2026-09"), 4);
    ASSERT_TRUE(kept && kept->fresh && kept->number == 1);
}

TEST_F(ReportTest, APageIsWholeAndEscapesNames) {
    Random random(4);
    store::AccountingStore books;
    ASSERT_FALSE(books.open(":memory:"));
    ASSERT_TRUE(books.collect_ledger(ledger(0, random, 200)));
    const auto html = to_html(report(books), {"team", "day"});
    EXPECT_EQ(html.find("Split <b>"), std::string::npos);
    EXPECT_NE(html.find("Split &lt;b&gt;"), std::string::npos);
    EXPECT_EQ(html.find("http"), std::string::npos);  // nothing from elsewhere
    EXPECT_NE(html.find("</html>"), std::string::npos);
    const auto table = to_table(report(books), {"team"});
    EXPECT_NE(table.find("team Metering was called Meters before"), std::string::npos) << table;
}

TEST_F(ReportTest, MistakesAreToldWithTheirLine) {
    const auto wrong = load_settlement_text("s.jsonnet", R"({
  zone: 'Europe/Nowhere',
  teams: { billing: {} },
  rules: [
    { team: 'biling' },
    { team: 'billing', from: '2026-11-02', until: '2026-11-01' },
  ],
  prices: [{ core_second: '0.0000000001', gb: '1' }],
})");
    ASSERT_FALSE(wrong);
    for (const char* part : {"s.jsonnet:2: zone", "s.jsonnet:5: rules.0.team", "did you mean 'billing'",
                             "must be after 'from'", "more than nine decimals", "s.jsonnet:8: prices.0.gb"})
        EXPECT_NE(wrong.error().find(part), std::string::npos) << part << " in " << wrong.error();
}

}  // namespace
}  // namespace gatetiller::report
