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

    void open_ledger(FrontTestBed& bed, int incarnation) {
        store::LedgerWriterSettings settings;
        settings.file = folder + "/front.ledger", settings.front = "tested";
        settings.incarnation = "00000000000000" + std::to_string(10 + incarnation),
        settings.flush_interval = 20 * kMillisecond;
        writer = std::make_unique<store::LedgerWriter>(settings);
        bed.ledger = writer.get();
    }
    struct Settlement {
        std::map<SettlementFinding, int> findings;
        std::map<WastedWork, Micros> work;
        Micros charged = 0, logged = 0, work_after_disconnect = 0;
        std::map<std::string, store::RequestAccount> by_id;
        std::vector<std::string> errors;
        store::CollectResult ledger, journal;
    };
    Settlement settle(const std::string& events) {
        Settlement result;
        store::AccountingStore store;
        const std::string file = folder + "/accounts-" + std::to_string(++stores_opened_);
        if (auto failure = store.open(file))
            ADD_FAILURE() << failure.text;
        auto ledger = store.collect_ledger(folder + "/front.ledger");
        if (!ledger)
            ADD_FAILURE() << ledger.error();
        std::istringstream lines(events);
        auto journal = store.collect_journal("events", lines);
        if (!journal)
            ADD_FAILURE() << journal.error();
        result.ledger = *ledger, result.journal = *journal;
        std::map<std::string, decide::IncarnationRecord> incarnation_records;
        if (auto failure = store.incarnations(incarnation_records))
            ADD_FAILURE() << failure.text;
        const auto count = [&](const decide::Settlement& settlement) {
            ++result.findings[settlement.finding];
            result.work[settlement.waste] += settlement.work;
            (settlement.logged ? result.logged : result.charged) += settlement.work;
            result.work_after_disconnect += settlement.work_after_disconnect;
        };
        const auto count_unmatched = [&](const decide::LoggedQuery& query) {
            const auto incarnation = query.attempt_tag
                                         ? incarnation_records.find(query.attempt_tag->incarnation)
                                         : incarnation_records.end();
            count(decide::settle_unmatched(
                query, incarnation == incarnation_records.end() ? nullptr : &incarnation->second));
        };
        const auto failure = store.for_each_entry(
            [&](const store::AccountEntry& entry) {
                if (!entry.account)
                    return count_unmatched(entry.events_by_attempt[0][0]);
                result.by_id[entry.account->request.id] = *entry.account;
                for (std::size_t i = 0; i < entry.events_by_attempt.size(); ++i)
                    count(decide::settle(entry.account->request, entry.account->attempts[i],
                                         entry.events_by_attempt[i]));
                for (const auto& query : entry.unmatched_events)
                    count_unmatched(query);
            },
            [&](std::string text) {
                result.errors.push_back(std::move(text));
            });
        if (failure)
            ADD_FAILURE() << failure.text;
        return result;
    }
    static Micros logged_work(const std::string& events) {
        std::istringstream lines(events);
        Micros all = 0;
        for (std::string line; std::getline(lines, line);)
            all += statement::read_completed(line)->cpu;
        return all;
    }
    std::string folder = ::testing::TempDir() + "front-ledger-" + std::to_string(::getpid());
    std::unique_ptr<store::LedgerWriter> writer;
    int stores_opened_ = 0;
};

TEST_F(LedgerTest, EveryQueryIsReconciledAfterFaultsAndKilledFront) {
    engine::MachineSettings machine;
    machine.cores = 4;
    FrontTestBed bed(3, "rules+: { warm_up: '10ms' }", machine);
    open_ledger(bed, 1);
    bed.restart();  // opens the ledger
    Random random(11);
    engine::Faults faults;
    faults.fast_errors = 0.1, faults.answer_lost = 0.1, faults.busy = 0.1, faults.lost_resets = true;
    std::vector<ClientStatement*> submissions;
    for (int incarnation = 1; incarnation <= 3; ++incarnation) {
        for (std::size_t i = 0; i < 3; ++i)
            bed.engine(i).set(faults);
        for (int i = 0; i < 60; ++i) {
            const char* source = std::array{"test", "unsafe", "long", "keyed"}[random.below(4)];
            const int n = static_cast<int>(submissions.size());
            submissions.push_back(&bed.submit(
                "SELECT " + std::to_string(n) + " /* gt: work_ms=" + std::to_string(random.below(60)) +
                    " mem_mb=" + std::to_string(random.below(9000)) + " rows=2 */",
                source, "", "key=k" + std::to_string(n) + ",team=t" + std::to_string(n % 3)));
            if (random.chance(0.15)) {
                const Micros until = bed.loop.now() + static_cast<Micros>(random.below(20)) * kMillisecond;
                (void)bed.wait_until([&] {
                    return bed.loop.now() >= until;
                });
                submissions.back()->client->cancel();
            }
            bed.loop.turn(kMillisecond);
        }
        const Micros incarnation_end = bed.loop.now() + 300 * kMillisecond;
        (void)bed.wait_until([&] {
            return bed.loop.now() >= incarnation_end;
        });
        // A kill: queued rows are not written; the next incarnation opens the same file.
        if (incarnation < 3) {
            auto killed_writer = std::move(writer);
            open_ledger(bed, incarnation + 1);
            bed.restart();
            killed_writer.reset();
        }
    }
    for (std::size_t i = 0; i < 3; ++i)
        bed.engine(i).set({});
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0 && bed.engine(0).machine().jobs() +
                                                        bed.engine(1).machine().jobs() +
                                                        bed.engine(2).machine().jobs() ==
                                                    0;
    }));
    bed.loop.turn(50 * kMillisecond);
    writer->finish(bed.loop.now(), bed.loop.wall());
    const auto settlement = settle(bed.events);
    EXPECT_TRUE(settlement.errors.empty()) << settlement.errors.front();
    EXPECT_TRUE(settlement.ledger.problems.empty() && settlement.journal.problems.empty());
    int attempts = 0;
    for (const auto& [finding, n] : settlement.findings) {
        EXPECT_TRUE(decide::is_explained(finding)) << name_of(finding) << ": " << n;
        attempts += n;
    }
    EXPECT_GT(settlement.findings.at(SettlementFinding::agreed), 30);
    EXPECT_GT(settlement.findings.at(SettlementFinding::end_not_observed), 2);
    EXPECT_GT(attempts, 60);
    EXPECT_EQ(settlement.logged, logged_work(bed.events));
    // Collecting the same events and the same ledger twice does not change the result.
    const auto repeated = settle(bed.events + bed.events);
    EXPECT_EQ(repeated.findings, settlement.findings);
    EXPECT_EQ(repeated.work, settlement.work);
    EXPECT_EQ(repeated.journal.known_events, repeated.journal.events);
    bed.expect_no_violations();
}

TEST_F(LedgerTest, ReportsWorkAfterDisconnectAndSpillSeparately) {
    engine::MachineSettings machine;
    machine.cores = 2, machine.memory_mb = 100, machine.when_short = MemoryShortagePolicy::trim;
    machine.cancel_stops = false;  // the engine does not stop cancelled queries
    FrontTestBed bed(1, "", machine);
    open_ledger(bed, 1);
    bed.restart();
    auto& submission = bed.submit("SELECT 1 /* gt: work_ms=600 mem_mb=4000 rows=1 */", "long");
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("spilled") > 0;
    }));
    submission.client->cancel();
    ASSERT_TRUE(bed.wait_until([&] {
        return !bed.events.empty();
    }));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0;
    }));
    writer->finish(bed.loop.now(), bed.loop.wall());
    const auto settlement = settle(bed.events);
    ASSERT_EQ(settlement.by_id.size(), 1u);
    EXPECT_EQ(settlement.by_id.begin()->second.request.state, RequestState::cancelled);
    EXPECT_EQ(settlement.findings.at(SettlementFinding::end_not_observed), 1);
    EXPECT_GE(settlement.work.at(WastedWork::client_disconnected),
              600 * kMillisecond);  // all of its work, as the engine ran it to the end
    EXPECT_GT(settlement.work_after_disconnect, 100 * kMillisecond);
    EXPECT_NE(bed.events.find("\"spilledBytes\""), std::string::npos);
    EXPECT_GT(statement::read_completed(bed.events.substr(0, bed.events.find('\n')))->spilled_bytes, 0);
}

// A client could send tags in the format of the front's own tags to have its work charged to another
// statement.
TEST_F(LedgerTest, RemovesForgedAttemptTag) {
    FrontTestBed bed(1);
    open_ledger(bed, 1);
    bed.restart();
    auto& submission =
        bed.submit("SELECT 1 /* gt: work_ms=5 */", "test", "", "gatetiller-attempt=0000000000000099.7.0,x=y");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended && bed.front().statements() == 0;
    }));
    writer->finish(bed.loop.now(), bed.loop.wall());
    const auto settlement = settle(bed.events);
    EXPECT_EQ(settlement.findings, (std::map<SettlementFinding, int>{{SettlementFinding::agreed, 1}}));
    EXPECT_EQ(settlement.by_id.begin()->second.request.requester->tags, "x=y");
    EXPECT_EQ(bed.events.find("0000000000000099"), std::string::npos);
}

// A front rejects statements of a team that has exceeded its budget, but not those of another team. A
// restarted front restores the used budget from the ledger.
TEST_F(LedgerTest, BudgetIsEnforcedAfterRestart) {
    FrontTestBed bed(
        1,
        "rules+: { warm_up: '10ms' }, tenants: { a: g.tenant(0.5), b: g.tenant(0.3), spent: g.tenant(0.2) },"
        "budgets: { window: '1h', over: 'spent', teams: {"
        "  one: { tags: ['team=a'], soft: '50ms', hard: '200ms' } } }");
    const auto open_ledger_with_history = [&](int incarnation) {
        store::LedgerWriterSettings settings;
        settings.file = folder + "/front.ledger", settings.front = "tested";
        settings.incarnation = "00000000000000" + std::to_string(10 + incarnation),
        settings.flush_interval = 20 * kMillisecond;
        settings.history_window = bed.settings.budgets.quota.window;
        writer = std::make_unique<store::LedgerWriter>(settings);
        bed.ledger = writer.get();
    };
    open_ledger_with_history(1);
    bed.restart();
    const auto served = [&](const char* tag) {
        auto& submission = bed.submit("SELECT 1 /* gt: work_ms=80 */", "test", "", tag);
        EXPECT_TRUE(bed.wait_until([&] {
            return submission.ended;
        }));
        return submission.result.how == statement::ClientResult::How::answered && submission.error().empty();
    };
    int served_count = 0;
    while (served_count < 10 && served("team=a"))
        ++served_count;
    EXPECT_EQ(served_count, 3);                      // 240 ms used of 200 ms
    EXPECT_EQ(bed.finished.back().tenant, "spent");  // the soft budget was exceeded before
    EXPECT_TRUE(served("team=b"));
    ASSERT_TRUE(bed.wait_until([&] {
        return writer->status().queued_rows == 0 && bed.front().statements() == 0;
    }));
    auto killed_writer = std::move(writer);
    open_ledger_with_history(2);
    bed.restart();
    killed_writer.reset();
    ASSERT_TRUE(bed.wait_until([&] {
        return writer->status().batches > 1;
    }));
    EXPECT_FALSE(served("team=a"));
    EXPECT_TRUE(served("team=b"));
    bed.expect_no_violations();
}

// With a permanently failed disk, statements are served as before, and the log, the status and the metrics
// report the error.
TEST_F(LedgerTest, ServesStatementsWithoutLedger) {
    FrontTestBed bed(1, "rules+: { warm_up: '10ms' }");
    store::LedgerWriterSettings settings;
    settings.file = "/proc/no/such/place/front.ledger", settings.front = "tested",
    settings.incarnation = "0000000000000011";
    settings.flush_interval = 10 * kMillisecond;
    store::LedgerWriter failing_writer(settings);
    bed.ledger = &failing_writer;
    bed.restart();
    auto& submission = bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended && bed.front().statements() == 0;
    }));
    EXPECT_TRUE(submission.error().empty()) << submission.error();
    EXPECT_NE(bed.exchange("GET", "/v1/status").response.body.find("\"ledger\":{\"state\":\"no access\""),
              std::string::npos);
    EXPECT_NE(bed.exchange("GET", "/metrics").response.body.find("what=\"ledger_written\"} 0"),
              std::string::npos);
    bed.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
