// Front and failing engines: retries, idempotency, truncated results and late responses.
#include "front/front_test_bed.hpp"
#include "statement/json.hpp"

namespace gatetiller::testing {
namespace {

TEST(FrontEngineFaults, IgnoresEngineResponseAfterSheddingStatement) {
    FrontTestBed w(1);
    w.engine(0).set({.hang = true});
    ClientStatement& a = w.submit("SELECT 1 /* gt: work_ms=10 */", "test", "late");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(a.error(), "QUERY_QUEUE_FULL");  // idempotent, so a retry is harmless
    w.engine(0).set({});
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(a.final_documents, 1);
    EXPECT_TRUE(a.pages.empty());
    w.expect_no_violations();
}

TEST(FrontEngineFaults, TruncatesStatementWithoutRetryWhenEngineCrashesAfterFirstRow) {
    FrontTestBed w(2);
    const std::string sql = "SELECT 1 /* gt: work_ms=5 rows=200000 row_bytes=100 */";
    ClientStatement& a = w.submit(sql, "test", "cut");
    ASSERT_TRUE(w.wait_until([&] {
        return !a.pages.empty();
    }));
    for (std::size_t i = 0; i < 2; ++i)
        if (w.engine(i).running() > 0)
            w.engine(i).set({.crashed = true});
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "REMOTE_HOST_GONE");
    EXPECT_EQ(w.count("received", "cut"), 1);
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(w.finished.at(0).outcome, front::StatementOutcome::truncated);
    w.expect_no_violations();
}

TEST(FrontEngineFaults, RetriesNonIdempotentStatementAfterRejectionButNotAfterPossibleExecution) {
    {
        FrontTestBed w(2);
        w.engine(0).set({.busy = 1});
        for (int i = 0; i < 6; ++i) {
            ClientStatement& a = w.submit("INSERT 1 /* gt: work_ms=5 */", "unsafe", "b" + std::to_string(i));
            ASSERT_TRUE(w.wait_until([&] {
                return a.ended;
            }));
            EXPECT_EQ(a.error(), "");
            EXPECT_EQ(w.count("started", "b" + std::to_string(i)), 1);
        }
        EXPECT_GT(w.count("refused"), 0);
        w.expect_no_violations();
    }
    FrontTestBed w(2);
    for (std::size_t i = 0; i < 2; ++i)
        w.engine(i).set({.reset_before = 1});
    ClientStatement& a = w.submit("INSERT 1 /* gt: work_ms=5 */", "unsafe", "r");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "REMOTE_HOST_GONE");  // not QUERY_QUEUE_FULL: it may have been executed
    EXPECT_EQ(w.finished.at(0).attempts, 1);
    w.expect_no_violations();
}

TEST(FrontEngineFaults, KeyedStatementExecutesAtMostOnceWhenResponsesAreLost) {
    engine::MachineSettings m;
    m.key_window = 20 * kSecondMicros;
    FrontTestBed w(1, "facts+: { note_period: '0ms' }", m);
    w.engine(0).set({.reset_before = 0.5});
    for (int i = 0; i < 10; ++i) {
        const std::string trace = "k" + std::to_string(i);
        ClientStatement& a = w.submit("INSERT 1 /* gt: work_ms=5 */", "keyed", trace, "key=" + trace);
        ASSERT_TRUE(w.wait_until([&] {
            return a.ended;
        }));
        EXPECT_LE(w.count("started", trace), 1);
    }
    w.expect_no_violations();
}

TEST(FrontEngineFaults, EveryStatementEndsWhenEnginesTrickleOrTruncateResponses) {
    FrontTestBed w(3, "rules+: { warm_up: '10ms' }, times+: { engine_answer: '400ms' }");
    w.engine(0).set({.trickle = 1});
    w.engine(1).set({.cut = 0.3});
    for (int i = 0; i < 40; ++i)
        w.submit("SELECT 1 /* gt: work_ms=5 rows=20 */", "long");
    ASSERT_TRUE(w.wait_until([&] {
        return std::all_of(w.submitted.begin(), w.submitted.end(), [](auto& a) {
            return a->ended;
        });
    }));
    int served = 0;
    for (const auto& a : w.submitted) {
        EXPECT_EQ(a->final_documents, 1);
        served += a->error().empty();
        if (a->error().empty()) {
            ASSERT_EQ(a->pages.size(), 1u);
            EXPECT_EQ(statement::array_length(a->pages[0]), 20u);
        }
    }
    EXPECT_GT(served, 20);
    w.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
