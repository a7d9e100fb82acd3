// The rate at which progress updates of an attempt are reported.
#include "decide/progress_reporter.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace gatetiller::decide {
namespace {

TEST(Notes, ProgressComesOnceAPeriodAndNewsAtOnce) {
    ProgressReporter notes(1000, 100);
    const auto topics = [&](Micros now, const QueryStats& seen) {
        std::vector<ProgressKind> t;
        for (const auto& told : notes.observe(now, seen))
            t.push_back(told.kind);
        return t;
    };
    using T = std::vector<ProgressKind>;
    EXPECT_EQ(topics(1025, {.progress = 1}), T{});  // within the first period
    EXPECT_EQ(topics(1100, {.progress = 10}), T{ProgressKind::fraction_done});
    EXPECT_EQ(topics(1150, {.progress = 15}), T{});
    EXPECT_EQ(topics(1160, {.queued = true}), T{ProgressKind::waiting});
    EXPECT_EQ(topics(1170, {.queued = true}), T{});
    EXPECT_EQ(notes.observe(1180, {.scheduled = true, .queued_splits = 3}).at(0).value,
              2);  // another reason to wait
    EXPECT_EQ(topics(1280, {.scheduled = true, .queued_splits = 3}), T{ProgressKind::waiting});
    EXPECT_EQ(topics(1281, {.running_splits = 1, .spilled_bytes = 1 << 20}),
              (T{ProgressKind::spilling, ProgressKind::fraction_done}));
    EXPECT_EQ(topics(1300, {.running_splits = 1, .spilled_bytes = 1 << 20}), T{});
}

}  // namespace
}  // namespace gatetiller::decide
