// The gap in a ledger after the front was killed.
#include "decide/ledger_state.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

// Requests that a killed incarnation received after its last commit are in the gap, whatever steps the wall
// clock makes before the next incarnation starts.
TEST(GapAfterKill, CoversTheTailThroughClockSteps) {
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        const auto random_below = [&](Micros most) {
            return static_cast<Micros>(random.below(static_cast<std::uint64_t>(most)));
        };
        const Micros tail = 300 * kMillisecond, last = 1'000'000 * kSecondMicros;
        const Micros received_after = random_below(tail), step_at = random_below(2 * kSecondMicros);
        const Micros step = random.chance(0.5) ? -random_below(5 * kSecondMicros) : 0;
        const Micros restart_after = received_after + random_below(3 * kSecondMicros);
        const auto wall = [&](Micros after) {
            return last + after + (after >= step_at ? step : 0);
        };
        const LedgerGap gap = gap_after_kill(last, wall(restart_after), tail);
        // The engine's clock makes no step here. Below it makes the same step as the front's; the exception
        // is a step within the tail that the time until the restart exceeds, which cannot be detected.
        EXPECT_GE(last + received_after, gap.from) << "seed " << seed;
        EXPECT_LE(last + received_after, gap.to) << "seed " << seed;
        if (step_at <= received_after && wall(restart_after) >= last)
            continue;
        EXPECT_GE(wall(received_after), gap.from) << "seed " << seed;
        EXPECT_LE(wall(received_after), gap.to) << "seed " << seed;
    }
}

}  // namespace
}  // namespace gatetiller::decide
