// Budgets, and the arithmetic of amounts, as properties over seeds.
#include "decide/quota.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"
#include "decide/ledger_state.hpp"
#include "decide/money.hpp"
#include "decide/settlement.hpp"

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
    // The first hundred leave the window half an hour on: not a moment later than said.
    const Micros back = q.retry_after("a", now);
    EXPECT_GT(back, 28 * kMinute);
    EXPECT_LE(back, 32 * kMinute);
    EXPECT_EQ(q.state("a", now + back - 2 * kMinute), QuotaState::over_hard_limit);
    EXPECT_EQ(q.state("a", now + back),
              QuotaState::over_soft_limit);  // 105 left: above nine tenths of the soft one
    EXPECT_EQ(q.state("a", now + 70 * kMinute), QuotaState::within_budget);
    EXPECT_EQ(q.use("a", now + 70 * kMinute), 0);
}

// At the brim, use that swings by a hair does not flicker: states last at least the stay.
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

// Several fronts, each knowing its part: however the load is spread, together they let through at most the
// whole budget and one statement more each, and with an even load they let through nearly all of it.
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

// A front that is started again knows what its ledger holds: within a slot, the same state and the same use.
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
        const Micros began = 7 * kSecondMicros;  // the new front's clock is young
        for (const auto& [at, work] : ledger)
            after.restore("a", began, now - at, work);
        Micros edge = 0;  // of the slot at the window's far end
        for (const auto& [at, work] : ledger)
            if (now - at >= 58 * kMinute && now - at <= 61 * kMinute)
                edge += work;
        EXPECT_NEAR(static_cast<double>(after.use("a", began)), static_cast<double>(before.use("a", now)),
                    static_cast<double>(edge))
            << "seed " << seed;
    }
}

TEST(Money, PartsSumToTheTotalAndPricesAreExact) {
    EXPECT_EQ(*read_price("0.000125"), 125'000);
    EXPECT_EQ(*read_price("12"), 12'000'000'000);
    for (const char* wrong : {"", ".5", "1.", "-1", "1e3", "0.0000000001", "1234567890", "0,5"})
        EXPECT_FALSE(read_price(wrong)) << wrong;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        std::vector<Exact> parts;
        Exact total = 0;
        for (auto n = random.below(40); n > 0; --n) {
            Usage u{static_cast<Micros>(random.below(1'000'000'000)),
                    Exact{1} * static_cast<std::int64_t>(random.next() >> 8),
                    Exact{1} * static_cast<std::int64_t>(random.next() >> 8),
                    static_cast<std::int64_t>(random.below(1ULL << 40))};
            const Rates r{static_cast<std::int64_t>(random.below(1'000'000'000)), 7, 3, 1'234'567};
            parts.push_back(amount_of(u, r));
            total += parts.back();
        }
        const int decimals = static_cast<int>(random.below(10));
        Exact sum = 0;
        for (const auto& text : rounded(parts, decimals)) {
            Exact n = 0;
            for (const char c : text)
                if (c != '.')
                    n = n * 10 + (c - '0');
            sum += n;
        }
        Exact unit = 1;
        for (int i = decimals; i < 24; ++i)
            unit *= 10;
        EXPECT_EQ(whole_text(sum), whole_text((total + unit / 2) / unit)) << "seed " << seed;
    }
    EXPECT_EQ(decimal_text(amount_of({kSecondMicros, 0, 0, 0}, {125'000, 0, 0, 0}), 6), "0.000125");
    EXPECT_EQ(
        decimal_text(amount_of({0, Exact{1'000'000'000} * 1'000'000, 0, 0}, {0, 5'000'000'000, 0, 0}), 2),
        "5.00");
    EXPECT_EQ(decimal_text(amount_of({0, 0, 0, 2'500'000'000}, {0, 0, 0, 1'000'000'000}), 1), "2.5");
}

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

// A clock that steps back at a month's end: the repeat is recognised by the times as they were read,
// whichever front took it first.
TEST(Repeats, AreThoseWithinTheWindowOfTheFirst) {
    const auto row = [](std::uint32_t number, Micros taken, const char* key, const char* tenant = "t") {
        RequestRow r;
        r.number = number, r.taken = taken, r.key = key, r.key_window = 10;
        r.who = std::make_shared<const Requester>(Requester{"u", "s", "", "c", tenant});
        return r;
    };
    Repeats repeats;
    repeats.add(row(1, 100, "k"), 1);
    repeats.add(row(1, 95, "k"), 0);   // another front, whose clock is behind
    repeats.add(row(2, 106, "k"), 1);  // after the first one's window: a first again
    repeats.add(row(3, 100, "k", "other"), 1);
    repeats.add(row(4, 100, "l"), 1);
    repeats.add(row(5, 101, ""), 1);
    repeats.finish();
    EXPECT_FALSE(repeats.repeat(0, 1));
    EXPECT_TRUE(repeats.repeat(1, 1));
    for (const std::uint32_t n : {2u, 3u, 4u, 5u})
        EXPECT_FALSE(repeats.repeat(1, n)) << n;
}

}  // namespace
}  // namespace gatetiller::decide
