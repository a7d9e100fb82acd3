// The budget of a starting endpoint, each rule on both sides of its edge.
#include "policy/slow_start.hpp"

#include <gtest/gtest.h>

using namespace gatetiller;
using namespace gatetiller::policy;

namespace {

SlowStartRequest query(double work, double budget, int gateways) {
    SlowStartRequest request;
    request.budget = budget;
    request.gateway_count = gateways;
    request.work = work;
    request.first_work = work;
    return request;
}

}  // namespace

TEST(SlowStart, LastsForItsWindowAndOnlyAfterAKnownStart) {
    PolicySettings settings;
    settings.slow_start_window = 1'000;
    EXPECT_TRUE(in_slow_start(settings, 500, 1'499));
    EXPECT_FALSE(in_slow_start(settings, 500, 1'500));
    EXPECT_FALSE(in_slow_start(settings, 0, 500));
}

TEST(SlowStart, CapacityGrowsFromItsShareToAll) {
    PolicySettings settings;
    settings.slow_start_window = 1'000;
    settings.slow_start_capacity_share = 0.2;
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 500), 0.2);
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 1'000), 0.6);
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 1'500), 1);
}

TEST(SlowStart, AGatewayKeepsToItsPartUntilTheWindowEnds) {
    SlowStartUsage use;
    use.add(100, 30);
    EXPECT_TRUE(use.admits(query(20, 100, 2)));
    EXPECT_FALSE(use.admits(query(21, 100, 2)));
    use.expire(100);
    EXPECT_FALSE(use.admits(query(21, 100, 2)));
    use.expire(101);
    EXPECT_TRUE(use.admits(query(50, 100, 2)));
}

TEST(SlowStart, AQueryLargerThanAPartIsAdmittedByDraw) {
    SlowStartUsage use;
    use.set_draw(0.5, 1'000);
    EXPECT_TRUE(use.admits(query(10, 100, 20)));   // half of ten fits in a part of five
    EXPECT_FALSE(use.admits(query(10, 100, 21)));  // and not in a smaller one
    EXPECT_FALSE(use.admits(query(11, 100, 20)));  // over a tenth of the budget
    use.add(0, 0);
    EXPECT_FALSE(use.admits(query(10, 100, 20)));  // no longer the window's first
    EXPECT_FALSE(use.draw_expired(999));
    EXPECT_TRUE(use.draw_expired(1'000));
}
