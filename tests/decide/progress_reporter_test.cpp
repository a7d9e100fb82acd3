// The rate at which progress updates of an attempt are reported.
#include "decide/progress_reporter.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace gatetiller::decide {
namespace {

TEST(ProgressReporter, ReportsProgressOncePerPeriodAndChangesAtOnce) {
    ProgressReporter reporter(1000, 100);
    const auto kinds = [&](Micros now, const QueryStats& stats) {
        std::vector<ProgressKind> t;
        for (const auto& update : reporter.observe(now, stats))
            t.push_back(update.kind);
        return t;
    };
    using T = std::vector<ProgressKind>;
    EXPECT_EQ(kinds(1025, {.progress = 1}), T{});  // within the first period
    EXPECT_EQ(kinds(1100, {.progress = 10}), T{ProgressKind::fraction_done});
    EXPECT_EQ(kinds(1150, {.progress = 15}), T{});
    EXPECT_EQ(kinds(1160, {.queued = true}), T{ProgressKind::waiting});
    EXPECT_EQ(kinds(1170, {.queued = true}), T{});
    EXPECT_EQ(reporter.observe(1180, {.scheduled = true, .queued_splits = 3}).at(0).value,
              2);  // another reason to wait
    EXPECT_EQ(kinds(1280, {.scheduled = true, .queued_splits = 3}), T{ProgressKind::waiting});
    EXPECT_EQ(kinds(1281, {.progress = 0, .running_splits = 1, .spilled_bytes = 1 << 20}),
              (T{ProgressKind::spilling, ProgressKind::fraction_done}));
    EXPECT_EQ(kinds(1300, {.progress = 0, .running_splits = 1, .spilled_bytes = 1 << 20}), T{});
}

// Guards against a progress that is not told counting as 0, which looks like a query that never ends: the
// policy cancelled its attempt.
TEST(ProgressReporter, ReportsThatAnAttemptRunsWithoutInventingItsProgress) {
    ProgressReporter reporter(1000, 100);
    EXPECT_TRUE(reporter.observe(1025, {.running_splits = 1}).empty());
    const auto updates = reporter.observe(1100, {.running_splits = 1});
    ASSERT_EQ(updates.size(), 1u);
    EXPECT_EQ(updates[0].kind, ProgressKind::waiting);
    EXPECT_EQ(updates[0].value, 0) << "it waits for nothing";
    EXPECT_TRUE(reporter.observe(1150, {.running_splits = 1}).empty());
    const auto known = reporter.observe(1200, {.progress = 40, .running_splits = 1});
    ASSERT_EQ(known.size(), 1u);
    EXPECT_EQ(known[0].kind, ProgressKind::fraction_done);
    EXPECT_EQ(known[0].value, 0.4);
}

}  // namespace
}  // namespace gatetiller::decide
