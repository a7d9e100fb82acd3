// Budget of a starting endpoint, each limit on both sides of its boundary.
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

TEST(SlowStart, LastsForWindowAfterKnownStart) {
    PolicySettings settings;
    settings.slow_start_window = 1'000;
    EXPECT_TRUE(in_slow_start(settings, 500, 1'499));
    EXPECT_FALSE(in_slow_start(settings, 500, 1'500));
    EXPECT_FALSE(in_slow_start(settings, 0, 500));
}

TEST(SlowStart, CapacityGrowsFromConfiguredShareToOne) {
    PolicySettings settings;
    settings.slow_start_window = 1'000;
    settings.slow_start_capacity_share = 0.2;
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 500), 0.2);
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 1'000), 0.6);
    EXPECT_DOUBLE_EQ(warm_capacity_share(settings, 500, 1'500), 1);
}

TEST(SlowStart, LimitsGatewayToItsShareWithinWindow) {
    SlowStartUsage use;
    use.add(100, 30);
    EXPECT_TRUE(use.admits(query(20, 100, 2)));
    EXPECT_FALSE(use.admits(query(21, 100, 2)));
    use.expire(100);
    EXPECT_FALSE(use.admits(query(21, 100, 2)));
    use.expire(101);
    EXPECT_TRUE(use.admits(query(50, 100, 2)));
}

TEST(SlowStart, AdmitsQueryLargerThanShareByDraw) {
    SlowStartUsage use;
    use.set_draw(0.5, 1'000);
    EXPECT_TRUE(use.admits(query(10, 100, 20)));   // draw 0.5 x work 10 is within the share of 5
    EXPECT_FALSE(use.admits(query(10, 100, 21)));  // but not within a smaller share
    EXPECT_FALSE(use.admits(query(11, 100, 20)));  // more than a tenth of the budget
    use.add(0, 0);
    EXPECT_FALSE(use.admits(query(10, 100, 20)));  // not the first query of the window
    EXPECT_FALSE(use.draw_expired(999));
    EXPECT_TRUE(use.draw_expired(1'000));
}
