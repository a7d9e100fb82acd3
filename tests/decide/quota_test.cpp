// Quota states over a sliding window, with random use.
#include "decide/quota.hpp"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

constexpr Micros kMinute = 60 * kSecondMicros;

TEST(Quota, StatesRiseAtOnceAndFallAfterAWhileBelowTheirBudget) {
    Quota q({60 * kMinute, 1, 0.9, 5 * kMinute}, {{"a", 100 * kSecondMicros, 200 * kSecondMicros}});
    Micros now = 1000 * kMinute;
    EXPECT_EQ(q.state("a", now), QuotaState::within_budget);
    EXPECT_EQ(q.state("nobody", now), QuotaState::within_budget);
    q.record_use("a", now, 100 * kSecondMicros);
    EXPECT_EQ(q.state("a", now), QuotaState::over_soft_limit);
    now += 30 * kMinute;
    q.record_use("a", now, 105 * kSecondMicros);
    EXPECT_EQ(q.state("a", now), QuotaState::over_hard_limit);
    // The first 100 s leave the window after half an hour, within retry_after().
    const Micros back = q.retry_after("a", now);
    EXPECT_GT(back, 28 * kMinute);
    EXPECT_LE(back, 32 * kMinute);
    EXPECT_EQ(q.state("a", now + back - 2 * kMinute), QuotaState::over_hard_limit);
    EXPECT_EQ(q.state("a", now + back),
              QuotaState::over_soft_limit);  // 105 s left: above 0.9 of the soft budget
    EXPECT_EQ(q.state("a", now + 70 * kMinute), QuotaState::within_budget);
    EXPECT_EQ(q.usage("a", now + 70 * kMinute), 0);
}

// With use that varies around a budget, a state lasts at least min_state_duration.
TEST(Quota, DoesNotFlicker) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Random random(seed);
        Quota q({10 * kMinute, 1, 0.9, kMinute}, {{"a", 60 * kSecondMicros, 90 * kSecondMicros}});
        Micros now = 0, changed = 0;
        QuotaState state = QuotaState::within_budget;
        for (int i = 0; i < 3000; ++i) {
            now += static_cast<Micros>(random.below(4 * kSecondMicros));
            q.record_use("a", now, static_cast<Micros>(random.below(500'000)));
            const QuotaState next = q.state("a", now);
            if (next < state) {
                EXPECT_GE(now - changed, kMinute) << "seed " << seed;
            }
            if (next != state)
                changed = now, state = next;
        }
    }
}

// Several fronts that each know only their own use: however the load is distributed, together they admit at
// most the budget and one more statement each, and with an even load at least the budget less one statement
// each.
TEST(Quota, FrontsTogetherKeepTheWholeBudget) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        const int fronts = 1 + static_cast<int>(random.below(8));
        const bool even = random.chance(0.5);
        const Micros hard = 1000 * kSecondMicros, one = kSecondMicros;
        std::vector<Quota> all(static_cast<std::size_t>(fronts),
                               Quota({60 * kMinute, fronts, 0.9, kMinute}, {{"a", 0, hard}}));
        Micros used = 0;
        for (int i = 0; i < 20'000; ++i) {
            const auto to = even ? static_cast<std::size_t>(i % fronts)
                                 : static_cast<std::size_t>(
                                       random.below(random.below(static_cast<std::uint64_t>(fronts)) + 1));
            if (all[to].state("a", kMinute) == QuotaState::over_hard_limit)
                continue;
            all[to].record_use("a", kMinute, one);
            used += one;
        }
        EXPECT_LE(used, hard + fronts * one) << "seed " << seed;
        if (even) {
            EXPECT_GE(used, hard - fronts * one) << "seed " << seed;
        }
    }
}

// A restarted front that restores the use from its ledger has the same usage, up to that of the oldest slot.
TEST(Quota, ARestoredFrontKnowsWhatItsLedgerHolds) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        const QuotaSettings settings{60 * kMinute, 1, 0.9, kMinute};
        Quota before(settings, {{"a", 100 * kSecondMicros, 300 * kSecondMicros}});
        Quota after = before;
        std::vector<std::pair<Micros, Micros>> ledger;
        Micros now = 0;
        for (int i = 0; i < 300; ++i) {
            now += static_cast<Micros>(random.below(kMinute));
            const auto work = static_cast<Micros>(random.below(4 * kSecondMicros));
            before.record_use("a", now, work);
            ledger.emplace_back(now, work);
        }
        const Micros began = 7 * kSecondMicros;  // the new front's monotonic clock has just started
        for (const auto& [at, work] : ledger)
            after.restore("a", began, now - at, work);
        Micros edge = 0;  // use in the oldest slot of the window
        for (const auto& [at, work] : ledger)
            if (now - at >= 58 * kMinute && now - at <= 61 * kMinute)
                edge += work;
        EXPECT_NEAR(static_cast<double>(after.usage("a", began)), static_cast<double>(before.usage("a", now)),
                    static_cast<double>(edge))
            << "seed " << seed;
    }
}

}  // namespace
}  // namespace gatetiller::decide
