// The gap in a ledger after the front was killed.
#include "decide/ledger_state.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

// Requests that a killed incarnation received after its last commit are in the gap, whatever steps the wall
// clock makes before the next incarnation starts.
TEST(KilledGap, HoldsTheTailThroughStepsOfTheClock) {
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        const auto upto = [&](Micros most) {
            return static_cast<Micros>(random.below(static_cast<std::uint64_t>(most)));
        };
        const Micros tail = 300 * kMillisecond, last = 1'000'000 * kSecondMicros;
        const Micros taken = upto(tail), step_at = upto(2 * kSecondMicros);
        const Micros step = random.chance(0.5) ? -upto(5 * kSecondMicros) : 0;
        const Micros down = taken + upto(3 * kSecondMicros);
        const auto wall = [&](Micros after) {
            return last + after + (after >= step_at ? step : 0);
        };
        const LedgerGap g = gap_after_kill(last, wall(down), tail);
        // The engine's clock makes no step here. Below it makes the same step as the front's; the exception
        // is a step within the tail that the time until the restart exceeds, which cannot be detected.
        EXPECT_GE(last + taken, g.from) << "seed " << seed;
        EXPECT_LE(last + taken, g.to) << "seed " << seed;
        if (step_at <= taken && wall(down) >= last)
            continue;
        EXPECT_GE(wall(taken), g.from) << "seed " << seed;
        EXPECT_LE(wall(taken), g.to) << "seed " << seed;
    }
}

}  // namespace
}  // namespace gatetiller::decide
