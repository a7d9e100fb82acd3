// The gap that is assumed in a ledger after a killed process.
#include "decide/ledger_state.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

// Whatever the clock did between a killed life's last commit and the next life's start, what was taken in the
// life's tail lies in the gap.
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
        // An engine's clock goes on as it did; one that steps along with the front's is covered too, but
        // where the step came within the tail and the front was down for longer than it: nothing tells of it
        // then.
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
