// Compares the ledger with the engines' own journals: with faults, disconnecting clients and killed fronts,
// every query and every attempt has a named finding, and the charged work equals the logged work.
#include <gtest/gtest.h>

#include <filesystem>
#include <sstream>

#include "front/front_test_bed.hpp"
#include "store/accounting_store.hpp"

namespace gatetiller::testing {
namespace {

using decide::AttemptState;
using decide::RequestState;
using decide::SettlementFinding;
using decide::WastedWork;

class LedgerTest : public ::testing::Test {
protected:
    LedgerTest() {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~LedgerTest() override {
        std::filesystem::remove_all(folder);
    }

    void keep(FrontTestBed& w, int life) {
        store::LedgerWriterSettings s;
        s.file = folder + "/front.ledger", s.front = "tested";
        s.incarnation = "00000000000000" + std::to_string(10 + life), s.flush_interval = 20 * kMillisecond;
        writer = std::make_unique<store::LedgerWriter>(s);
        w.ledger = writer.get();
    }
    struct Settlement {
        std::map<SettlementFinding, int> findings;
        std::map<WastedWork, Micros> work;
        Micros charged = 0, logged = 0, after_leaving = 0;
        std::map<std::string, store::RequestAccount> by_id;
        std::vector<std::string> troubles;
        store::CollectResult ledger, journal;
    };
    Settlement settle(const std::string& events) {
        Settlement s;
        store::AccountingStore books;
        const std::string file = folder + "/books-" + std::to_string(++books_);
        if (auto f = books.open(file))
            ADD_FAILURE() << f.text;
        auto ledger = books.collect_ledger(folder + "/front.ledger");
        if (!ledger)
            ADD_FAILURE() << ledger.error();
        std::istringstream lines(events);
        auto journal = books.collect_journal("events", lines);
        if (!journal)
            ADD_FAILURE() << journal.error();
        s.ledger = *ledger, s.journal = *journal;
        std::map<std::string, decide::IncarnationRecord> lives;
        if (auto f = books.incarnations(lives))
            ADD_FAILURE() << f.text;
        const auto count = [&](const decide::Settlement& done) {
            ++s.findings[done.finding];
            s.work[done.waste] += done.work;
            (done.logged ? s.logged : s.charged) += done.work;
            s.after_leaving += done.work_after_disconnect;
        };
        const auto alone = [&](const decide::LoggedQuery& q) {
            const auto life = q.attempt_tag ? lives.find(q.attempt_tag->incarnation) : lives.end();
            count(decide::settle_unmatched(q, life == lives.end() ? nullptr : &life->second));
        };
        const auto f = books.for_each_entry(
            [&](const store::AccountEntry& e) {
                if (!e.account)
                    return alone(e.events_by_attempt[0][0]);
                s.by_id[e.account->request.id] = *e.account;
                for (std::size_t i = 0; i < e.events_by_attempt.size(); ++i)
                    count(decide::settle(e.account->request, e.account->attempts[i], e.events_by_attempt[i]));
                for (const auto& q : e.unmatched_events)
                    alone(q);
            },
            [&](std::string text) {
                s.troubles.push_back(std::move(text));
            });
        if (f)
            ADD_FAILURE() << f.text;
        return s;
    }
    static Micros logged(const std::string& events) {
        std::istringstream lines(events);
        Micros all = 0;
        for (std::string line; std::getline(lines, line);)
            all += statement::read_completed(line)->cpu;
        return all;
    }
    std::string folder = ::testing::TempDir() + "front-ledger-" + std::to_string(::getpid());
    std::unique_ptr<store::LedgerWriter> writer;
    int books_ = 0;
};

TEST_F(LedgerTest, EveryQueryIsReconciledAfterFaultsAndKilledFront) {
    engine::MachineSettings machine;
    machine.cores = 4;
    FrontTestBed w(3, "rules+: { warm_up: '10ms' }", machine);
    keep(w, 1);
    w.restart();  // opens the ledger
    Random random(11);
    engine::Faults faults;
    faults.fast_errors = 0.1, faults.answer_lost = 0.1, faults.busy = 0.1, faults.lost_resets = true;
    std::vector<ClientStatement*> all;
    for (int life = 1; life <= 3; ++life) {
        for (std::size_t i = 0; i < 3; ++i)
            w.engine(i).set(faults);
        for (int i = 0; i < 60; ++i) {
            const char* source = std::array{"test", "unsafe", "long", "keyed"}[random.below(4)];
            const int n = static_cast<int>(all.size());
            all.push_back(&w.submit(
                "SELECT " + std::to_string(n) + " /* gt: work_ms=" + std::to_string(random.below(60)) +
                    " mem_mb=" + std::to_string(random.below(9000)) + " rows=2 */",
                source, "", "key=k" + std::to_string(n) + ",team=t" + std::to_string(n % 3)));
            if (random.chance(0.15)) {
                const Micros until = w.loop.now() + static_cast<Micros>(random.below(20)) * kMillisecond;
                (void)w.wait_until([&] {
                    return w.loop.now() >= until;
                });
                all.back()->client->cancel();
            }
            w.loop.turn(kMillisecond);
        }
        const Micros on = w.loop.now() + 300 * kMillisecond;
        (void)w.wait_until([&] {
            return w.loop.now() >= on;
        });
        if (life < 3) {  // a kill: queued rows are not written; the next incarnation opens the same file
            auto killed = std::move(writer);
            keep(w, life + 1);
            w.restart();
            killed.reset();
        }
    }
    for (std::size_t i = 0; i < 3; ++i)
        w.engine(i).set({});
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0 &&
               w.engine(0).machine().jobs() + w.engine(1).machine().jobs() + w.engine(2).machine().jobs() ==
                   0;
    }));
    w.loop.turn(50 * kMillisecond);
    writer->finish(w.loop.now(), w.loop.wall());
    const auto s = settle(w.events);
    EXPECT_TRUE(s.troubles.empty()) << s.troubles.front();
    EXPECT_TRUE(s.ledger.problems.empty() && s.journal.problems.empty());
    int attempts = 0;
    for (const auto& [finding, n] : s.findings) {
        EXPECT_TRUE(decide::is_explained(finding)) << name_of(finding) << ": " << n;
        attempts += n;
    }
    EXPECT_GT(s.findings.at(SettlementFinding::agreed), 30);
    EXPECT_GT(s.findings.at(SettlementFinding::end_not_observed), 2);
    EXPECT_GT(attempts, 60);
    EXPECT_EQ(s.logged, logged(w.events));
    // Collecting the same events and the same ledger twice does not change the result.
    const auto again = settle(w.events + w.events);
    EXPECT_EQ(again.findings, s.findings);
    EXPECT_EQ(again.work, s.work);
    EXPECT_EQ(again.journal.known_events, again.journal.events);
    w.expect_no_violations();
}

TEST_F(LedgerTest, ReportsWorkAfterDisconnectAndSpillSeparately) {
    engine::MachineSettings machine;
    machine.cores = 2, machine.memory_mb = 100, machine.when_short = MemoryShortagePolicy::trim;
    machine.cancel_stops = false;  // the engine does not stop cancelled queries
    FrontTestBed w(1, "", machine);
    keep(w, 1);
    w.restart();
    auto& a = w.submit("SELECT 1 /* gt: work_ms=600 mem_mb=4000 rows=1 */", "long");
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("spilled") > 0;
    }));
    a.client->cancel();
    ASSERT_TRUE(w.wait_until([&] {
        return !w.events.empty();
    }));
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0;
    }));
    writer->finish(w.loop.now(), w.loop.wall());
    const auto s = settle(w.events);
    ASSERT_EQ(s.by_id.size(), 1u);
    EXPECT_EQ(s.by_id.begin()->second.request.state, RequestState::cancelled);
    EXPECT_EQ(s.findings.at(SettlementFinding::end_not_observed), 1);
    EXPECT_GE(s.work.at(WastedWork::client_disconnected),
              600 * kMillisecond);  // all of its work, as the engine ran it to the end
    EXPECT_GT(s.after_leaving, 100 * kMillisecond);
    EXPECT_NE(w.events.find("\"spilledBytes\""), std::string::npos);
    EXPECT_GT(statement::read_completed(w.events.substr(0, w.events.find('\n')))->spilled_bytes, 0);
}

// A client could send tags in the format of the front's own tags to have its work charged to another
// statement.
TEST_F(LedgerTest, RemovesForgedAttemptTag) {
    FrontTestBed w(1);
    keep(w, 1);
    w.restart();
    auto& a =
        w.submit("SELECT 1 /* gt: work_ms=5 */", "test", "", "gatetiller-attempt=0000000000000099.7.0,x=y");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended && w.front().statements() == 0;
    }));
    writer->finish(w.loop.now(), w.loop.wall());
    const auto s = settle(w.events);
    EXPECT_EQ(s.findings, (std::map<SettlementFinding, int>{{SettlementFinding::agreed, 1}}));
    EXPECT_EQ(s.by_id.begin()->second.request.requester->tags, "x=y");
    EXPECT_EQ(w.events.find("0000000000000099"), std::string::npos);
}

// A front rejects statements of a team that has exceeded its budget, but not those of another team. A
// restarted front restores the used budget from the ledger.
TEST_F(LedgerTest, BudgetIsEnforcedAfterRestart) {
    FrontTestBed w(
        1,
        "rules+: { warm_up: '10ms' }, tenants: { a: g.tenant(0.5), b: g.tenant(0.3), spent: g.tenant(0.2) },"
        "budgets: { window: '1h', over: 'spent', teams: {"
        "  one: { tags: ['team=a'], soft: '50ms', hard: '200ms' } } }");
    const auto with_past = [&](int life) {
        store::LedgerWriterSettings s;
        s.file = folder + "/front.ledger", s.front = "tested";
        s.incarnation = "00000000000000" + std::to_string(10 + life), s.flush_interval = 20 * kMillisecond;
        s.history_window = w.settings.budgets.quota.window;
        writer = std::make_unique<store::LedgerWriter>(s);
        w.ledger = writer.get();
    };
    with_past(1);
    w.restart();
    const auto served = [&](const char* tag) {
        auto& a = w.submit("SELECT 1 /* gt: work_ms=80 */", "test", "", tag);
        EXPECT_TRUE(w.wait_until([&] {
            return a.ended;
        }));
        return a.result.how == statement::ClientResult::How::answered && a.error().empty();
    };
    int taken = 0;
    while (taken < 10 && served("team=a"))
        ++taken;
    EXPECT_EQ(taken, 3);                           // 240 ms used of 200 ms
    EXPECT_EQ(w.finished.back().tenant, "spent");  // the soft budget was exceeded before
    EXPECT_TRUE(served("team=b"));
    ASSERT_TRUE(w.wait_until([&] {
        return writer->status().queued_rows == 0 && w.front().statements() == 0;
    }));
    auto killed = std::move(writer);
    with_past(2);
    w.restart();
    killed.reset();
    ASSERT_TRUE(w.wait_until([&] {
        return writer->status().batches > 1;
    }));
    EXPECT_FALSE(served("team=a"));
    EXPECT_TRUE(served("team=b"));
    w.expect_no_violations();
}

// With a permanently failed disk, statements are served as before, and the log, the status and the metrics
// report the error.
TEST_F(LedgerTest, ServesStatementsWithoutLedger) {
    FrontTestBed w(1, "rules+: { warm_up: '10ms' }");
    store::LedgerWriterSettings s;
    s.file = "/proc/no/such/place/front.ledger", s.front = "tested", s.incarnation = "0000000000000011";
    s.flush_interval = 10 * kMillisecond;
    store::LedgerWriter broken(s);
    w.ledger = &broken;
    w.restart();
    auto& a = w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended && w.front().statements() == 0;
    }));
    EXPECT_TRUE(a.error().empty()) << a.error();
    EXPECT_NE(w.exchange("GET", "/v1/status").response.body.find("\"ledger\":{\"state\":\"no access\""),
              std::string::npos);
    EXPECT_NE(w.exchange("GET", "/metrics").response.body.find("what=\"ledger_written\"} 0"),
              std::string::npos);
    w.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
