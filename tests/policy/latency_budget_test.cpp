// The fit and Algorithm 1 against independently computed values.
#include "policy/latency_budget.hpp"

#include <gtest/gtest.h>

#include <cmath>

using namespace gatetiller::policy;

TEST(LatencyBudget, VariationOneIsExponential) {
    EXPECT_NEAR(generalized_exponential_shape(1.0), 1.0, 1e-6);  // phi = 1: mean = sd = omega
    EXPECT_NEAR(generalized_exponential_cdf(2.0, 1.0, 1.0), 1 - std::exp(-2.0), 1e-6);
}

TEST(LatencyBudget, ShapeTwoHasKnownMeanAndVariance) {
    // phi = 2: mean = 1 + 1/2 = 1.5 omega, variance = 1 + 1/4 = 1.25 omega^2.
    const double cv = std::sqrt(1.25) / 1.5;
    EXPECT_NEAR(generalized_exponential_shape(cv), 2.0, 1e-6);
    EXPECT_NEAR(generalized_exponential_cdf(1.5, 1.5, cv), std::pow(1 - std::exp(-1.5), 2), 1e-6);
}

TEST(LatencyBudget, ExponentialBudgetMatchesClosedForm) {
    // CV 1, objective 1, and a deadline so late that only the objective matters: the target t equals
    // 0.5 exp(-1/M), so that M = 1/ln(0.5/t).
    const double budget = mean_latency_budget({1.0, 1.0, 20.0, 0.05});
    const double eta = 0.5 * std::exp(-1.0 / budget) / 0.05;
    EXPECT_GE(eta, 0.94);
    EXPECT_LE(eta, 0.99);
    EXPECT_NEAR(budget, 1 / std::log(0.5 / 0.05), 0.02);
}

TEST(LatencyBudget, VariationNearZeroUsesNearlyTheWholeObjective) {
    const double budget = mean_latency_budget({0.0, 1e6, 1e7, 0.05});
    EXPECT_GT(budget, 0.9e6);
    EXPECT_LT(budget, 1.01e6);
}

TEST(LatencyBudget, VeryLargeVariationGivesFiniteBudget) {
    const double budget = mean_latency_budget({1e6, 1e6, 1e7, 0.05});
    EXPECT_TRUE(std::isfinite(budget));
    EXPECT_GT(budget, 0);
    EXPECT_LE(budget, 1e7);
}
