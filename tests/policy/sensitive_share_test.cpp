// The step of the sensitive share against values worked out apart from the code.
#include "policy/sensitive_share.hpp"

#include <gtest/gtest.h>

using namespace gatetiller::policy;

TEST(SensitiveShare, FallsByGammaOverCv) {
    EXPECT_NEAR(next_sensitive_share(0.5, {0.5, 0.2, 2.0}), 0.5 - 0.025, 1e-12);
}
TEST(SensitiveShare, GrowsByBetaWhenTheWorstPasses) {
    EXPECT_NEAR(next_sensitive_share(0.4, {1.2, 0.2, 1.0}), 0.5, 1e-12);
}
TEST(SensitiveShare, HoldsBetween) {
    EXPECT_EQ(next_sensitive_share(0.4, {0.97, 0.96, 1.0}), 0.4);  // worst under theta, best not under zeta
}
TEST(SensitiveShare, StaysWithinItsBounds) {
    EXPECT_EQ(next_sensitive_share(0.9, {5, 0, 1}), 0.95);
    EXPECT_EQ(next_sensitive_share(0.06, {0, 0, 0.5}), 0.05);
}
