// The schedule of a graceful shutdown.
#include "decide/graceful_shutdown.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace gatetiller::decide {
namespace {

TEST(PlannedRestart, EndsBeforeThePlatformKillsWhateverTheDeadlines) {
    for (const Micros deadline : {300, 900, 2'000, 3'000, 25'000}) {
        PolicySettings settings;
        settings.classes.emplace_back().deadline = deadline * kMillisecond;
        const auto t = derive_shutdown_schedule(settings);
        const Micros killed = std::min<Micros>(deadline, 3'000) * kMillisecond + 700 * kMillisecond;
        EXPECT_LE(t.admit_until, t.listen_until) << deadline;
        EXPECT_LE(t.listen_until, t.final_responses_at) << deadline;
        EXPECT_LT(t.final_responses_at, t.exit_at) << deadline;
        EXPECT_LT(t.exit_at, killed) << deadline;
    }
}

}  // namespace
}  // namespace gatetiller::decide
