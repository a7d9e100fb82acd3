// Steps of the sensitive share against independently computed values.
#include "policy/sensitive_share.hpp"

#include <gtest/gtest.h>

using namespace gatetiller::policy;

TEST(SensitiveShare, DecreasesByStepOverVariation) {
    EXPECT_NEAR(next_sensitive_share(0.5, {0.5, 0.2, 2.0}), 0.5 - 0.025, 1e-12);  // gamma 0.05 over CV 2
}
TEST(SensitiveShare, GrowsWhenWorstStreamMissesTarget) {
    EXPECT_NEAR(next_sensitive_share(0.4, {1.2, 0.2, 1.0}), 0.5, 1e-12);  // beta 0.25
}
TEST(SensitiveShare, IsUnchangedBetweenThresholds) {
    EXPECT_EQ(next_sensitive_share(0.4, {0.97, 0.96, 1.0}),
              0.4);  // worst below 0.98 (theta), best not below 0.95 (zeta)
}
TEST(SensitiveShare, StaysWithinBounds) {
    EXPECT_EQ(next_sensitive_share(0.9, {5, 0, 1}), 0.95);
    EXPECT_EQ(next_sensitive_share(0.06, {0, 0, 0.5}), 0.05);
}
