// The mean latency that a stream of requests may have while it keeps its disengagement target.
//
// Source: "User Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems", section 3.1
// (the generalized exponential distribution F(x) = (1 - exp(-x / omega))^phi fitted to latencies) and
// section 3.2 (Algorithm 1, a bisection for the mean). A request disengages wholly after its deadline and by
// half between its latency objective and its deadline.
#pragma once

namespace gatetiller::policy {

// Share of disengaged requests that is allowed.
constexpr double kDisengagementTarget = 0.05;
// Disengagement of an answer between objective and deadline.
constexpr double kLateDisengagement = 0.5;
// Range of disengagement over target in which a stream keeps its target without giving slots away.
constexpr double kLowestOnTargetRatio = 0.95;
constexpr double kHighestOnTargetRatio = 0.98;
// Range of the coefficient of variation that the fit tells apart.
constexpr double kLowestVariation = 0.03;
constexpr double kHighestVariation = 20;

// Shape (phi) of the fit whose coefficient of variation, clamped to the range above, is `variation`.
double generalized_exponential_shape(double variation);

// F(x) of the fit with this mean, which has the unit of `x`, and this coefficient of variation.
double generalized_exponential_cdf(double x, double mean, double variation);

struct LatencyBudgetInput {
    double variation = 1;                  // of latencies: standard deviation over mean
    double objective = 0;                  // any unit of time, the same for all three
    double deadline = 0;                   // at least the objective
    double target = kDisengagementTarget;  // allowed share of disengagement
};

// The mean latency, within a 4096th of the deadline, at which the expected disengagement meets the target. It
// lies in [0, deadline].
double mean_latency_budget(const LatencyBudgetInput& input);

}  // namespace gatetiller::policy
