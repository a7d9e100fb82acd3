// Amounts and prices: exact sums, for random parts.
#include "decide/money.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

TEST(Money, PartsSumToTheTotalAndPricesAreExact) {
    EXPECT_EQ(*parse_price("0.000125"), 125'000);
    EXPECT_EQ(*parse_price("12"), 12'000'000'000);
    for (const char* wrong : {"", ".5", "1.", "-1", "1e3", "0.0000000001", "1234567890", "0,5"})
        EXPECT_FALSE(parse_price(wrong)) << wrong;
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
        for (const auto& text : round_preserving_total(parts, decimals)) {
            Exact n = 0;
            for (const char c : text)
                if (c != '.')
                    n = n * 10 + (c - '0');
            sum += n;
        }
        Exact unit = 1;
        for (int i = decimals; i < 24; ++i)
            unit *= 10;
        EXPECT_EQ(integer_text(sum), integer_text((total + unit / 2) / unit)) << "seed " << seed;
    }
    EXPECT_EQ(decimal_text(amount_of({kSecondMicros, 0, 0, 0}, {125'000, 0, 0, 0}), 6), "0.000125");
    EXPECT_EQ(
        decimal_text(amount_of({0, Exact{1'000'000'000} * 1'000'000, 0, 0}, {0, 5'000'000'000, 0, 0}), 2),
        "5.00");
    EXPECT_EQ(decimal_text(amount_of({0, 0, 0, 2'500'000'000}, {0, 0, 0, 1'000'000'000}), 1), "2.5");
}

}  // namespace
}  // namespace gatetiller::decide
