// Algorithm 1 and the alpha rule against values worked out apart from the code.
#include <gtest/gtest.h>

#include <cmath>

#include "policy/gateway_policy.hpp"

using namespace gatetiller;

TEST(Fit, CvOneIsTheExponential) {
    EXPECT_NEAR(gexp_shape(1.0), 1.0, 1e-6);  // phi = 1: mean = sd = omega
    EXPECT_NEAR(gexp_cdf(2.0, 1.0, 1.0), 1 - std::exp(-2.0), 1e-6);
}

TEST(Fit, ShapeTwoHasThreeHalvesAndFiveQuarters) {
    // phi = 2: mean = 1 + 1/2 = 1.5 omega, variance = 1 + 1/4 = 1.25 omega^2.
    const double cv = std::sqrt(1.25) / 1.5;
    EXPECT_NEAR(gexp_shape(cv), 2.0, 1e-6);
    EXPECT_NEAR(gexp_cdf(1.5, 1.5, cv), std::pow(1 - std::exp(-1.5), 2), 1e-6);
}

TEST(Fit, BudgetForTheExponential) {
    // CV 1, aim 1, deadline so far that only the aim counts: half of exp(-1/M) is the target; M =
    // 1/ln(0.5/t).
    const double budget = mean_latency_budget(1.0, 1.0, 20.0, 0.05);
    const double eta = 0.5 * std::exp(-1.0 / budget) / 0.05;
    EXPECT_GE(eta, 0.94);
    EXPECT_LE(eta, 0.99);
    EXPECT_NEAR(budget, 1 / std::log(0.5 / 0.05), 0.02);
}

TEST(Fit, CvNearZeroSpendsNearlyTheWholeAim) {
    const double budget = mean_latency_budget(0.0, 1e6, 1e7, 0.05);
    EXPECT_GT(budget, 0.9e6);
    EXPECT_LT(budget, 1.01e6);
}

TEST(Fit, VeryLargeCvStaysFiniteAndSmall) {
    const double budget = mean_latency_budget(1e6, 1e6, 1e7, 0.05);
    EXPECT_TRUE(std::isfinite(budget));
    EXPECT_GT(budget, 0);
    EXPECT_LE(budget, 1e7);
}

TEST(Alpha, FallsByGammaOverCv) {
    EXPECT_NEAR(next_alpha(0.5, 0.5, 0.2, 2.0), 0.5 - 0.025, 1e-12);
}
TEST(Alpha, GrowsByBetaWhenTheWorstPasses) {
    EXPECT_NEAR(next_alpha(0.4, 1.2, 0.2, 1.0), 0.5, 1e-12);
}
TEST(Alpha, HoldsBetween) {
    EXPECT_EQ(next_alpha(0.4, 0.97, 0.96, 1.0), 0.4);  // worst under theta, best not under zeta
}
TEST(Alpha, StaysWithinItsBounds) {
    EXPECT_EQ(next_alpha(0.9, 5, 0, 1), 0.95);
    EXPECT_EQ(next_alpha(0.06, 0, 0, 0.5), 0.05);
}
