// The schedule of a graceful shutdown.
#include "decide/graceful_shutdown.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace gatetiller::decide {
namespace {

TEST(GracefulShutdown, ExitsBeforeThePlatformKillsForAnyDeadline) {
    for (const Micros deadline : {300, 900, 2'000, 3'000, 25'000}) {
        PolicySettings settings;
        settings.classes.emplace_back().deadline = deadline * kMillisecond;
        const auto schedule = derive_shutdown_schedule(settings);
        const Micros killed_at = std::min<Micros>(deadline, 3'000) * kMillisecond + 700 * kMillisecond;
        EXPECT_LE(schedule.admit_until, schedule.listen_until) << deadline;
        EXPECT_LE(schedule.listen_until, schedule.final_responses_at) << deadline;
        EXPECT_LT(schedule.final_responses_at, schedule.exit_at) << deadline;
        EXPECT_LT(schedule.exit_at, killed_at) << deadline;
    }
}

}  // namespace
}  // namespace gatetiller::decide
