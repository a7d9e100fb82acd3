// Front and failing engines: retries, idempotency, truncated results and late responses.
#include "front/front_test_bed.hpp"
#include "statement/json.hpp"

namespace gatetiller::testing {
namespace {

TEST(FrontEngineFaults, IgnoresEngineResponseAfterSheddingStatement) {
    FrontTestBed bed(1);
    bed.engine(0).set({.hang = true});
    ClientStatement& submission = bed.submit("SELECT 1 /* gt: work_ms=10 */", "test", "late");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended;
    }));
    EXPECT_EQ(submission.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(submission.error(), "QUERY_QUEUE_FULL");  // idempotent, so a retry is harmless
    bed.engine(0).set({});
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0;
    }));
    EXPECT_EQ(submission.final_documents, 1);
    EXPECT_TRUE(submission.pages.empty());
    bed.expect_no_violations();
}

TEST(FrontEngineFaults, TruncatesStatementWithoutRetryWhenEngineCrashesAfterFirstRow) {
    FrontTestBed bed(2);
    const std::string sql = "SELECT 1 /* gt: work_ms=5 rows=200000 row_bytes=100 */";
    ClientStatement& submission = bed.submit(sql, "test", "cut");
    ASSERT_TRUE(bed.wait_until([&] {
        return !submission.pages.empty();
    }));
    for (std::size_t i = 0; i < 2; ++i)
        if (bed.engine(i).running() > 0)
            bed.engine(i).set({.crashed = true});
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended;
    }));
    EXPECT_EQ(submission.error(), "REMOTE_HOST_GONE");
    EXPECT_EQ(bed.count("received", "cut"), 1);
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0;
    }));
    EXPECT_EQ(bed.finished.at(0).outcome, front::StatementOutcome::truncated);
    bed.expect_no_violations();
}

TEST(FrontEngineFaults, RetriesNonIdempotentStatementAfterRejectionButNotAfterPossibleExecution) {
    {
        FrontTestBed bed(2);
        bed.engine(0).set({.busy = 1});
        for (int i = 0; i < 6; ++i) {
            ClientStatement& submission =
                bed.submit("INSERT 1 /* gt: work_ms=5 */", "unsafe", "b" + std::to_string(i));
            ASSERT_TRUE(bed.wait_until([&] {
                return submission.ended;
            }));
            EXPECT_EQ(submission.error(), "");
            EXPECT_EQ(bed.count("started", "b" + std::to_string(i)), 1);
        }
        EXPECT_GT(bed.count("refused"), 0);
        bed.expect_no_violations();
    }
    FrontTestBed bed(2);
    for (std::size_t i = 0; i < 2; ++i)
        bed.engine(i).set({.reset_before = 1});
    ClientStatement& submission = bed.submit("INSERT 1 /* gt: work_ms=5 */", "unsafe", "r");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended;
    }));
    EXPECT_EQ(submission.error(), "REMOTE_HOST_GONE");  // not QUERY_QUEUE_FULL: it may have been executed
    EXPECT_EQ(bed.finished.at(0).attempts, 1);
    bed.expect_no_violations();
}

TEST(FrontEngineFaults, KeyedStatementExecutesAtMostOnceWhenResponsesAreLost) {
    engine::MachineSettings machine;
    machine.key_window = 20 * kSecondMicros;
    FrontTestBed bed(1, "facts+: { note_period: '0ms' }", machine);
    bed.engine(0).set({.reset_before = 0.5});
    for (int i = 0; i < 10; ++i) {
        const std::string trace = "k" + std::to_string(i);
        ClientStatement& submission =
            bed.submit("INSERT 1 /* gt: work_ms=5 */", "keyed", trace, "key=" + trace);
        ASSERT_TRUE(bed.wait_until([&] {
            return submission.ended;
        }));
        EXPECT_LE(bed.count("started", trace), 1);
    }
    bed.expect_no_violations();
}

TEST(FrontEngineFaults, EveryStatementEndsWhenEnginesTrickleOrTruncateResponses) {
    FrontTestBed bed(3, "rules+: { warm_up: '10ms' }, times+: { engine_answer: '400ms' }");
    bed.engine(0).set({.trickle = 1});
    bed.engine(1).set({.cut = 0.3});
    for (int i = 0; i < 40; ++i)
        bed.submit("SELECT 1 /* gt: work_ms=5 rows=20 */", "long");
    ASSERT_TRUE(bed.wait_until([&] {
        return std::all_of(bed.submitted.begin(), bed.submitted.end(), [](auto& submission) {
            return submission->ended;
        });
    }));
    int served = 0;
    for (const auto& submission : bed.submitted) {
        EXPECT_EQ(submission->final_documents, 1);
        served += submission->error().empty();
        if (submission->error().empty()) {
            ASSERT_EQ(submission->pages.size(), 1u);
            EXPECT_EQ(statement::array_length(submission->pages[0]), 20u);
        }
    }
    EXPECT_GT(served, 20);
    bed.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
