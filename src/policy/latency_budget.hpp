// Mean latency at which a stream of requests still meets its disengagement target.
//
// Source: "User Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems", section 3.1
// (the generalized exponential distribution F(x) = (1 - exp(-x / omega))^phi fitted to latencies) and
// section 3.2 (Algorithm 1, a bisection for the mean). The disengagement of a request is 1 after its deadline
// and 0.5 between its latency objective and its deadline.
#pragma once

namespace gatetiller::policy {

// Allowed share of disengaged requests.
constexpr double kDisengagementTarget = 0.05;
// Disengagement of a response between objective and deadline.
constexpr double kLateDisengagement = 0.5;
// Range of the ratio of disengagement to target in which a stream is on target: it meets its target without
// slots to spare.
constexpr double kMinOnTargetRatio = 0.95;
constexpr double kMaxOnTargetRatio = 0.98;
// Range of the coefficient of variation that the fit resolves.
constexpr double kMinVariation = 0.03;
constexpr double kMaxVariation = 20;

// Returns the shape (phi) of the fit with the coefficient of variation `variation`, clamped to the range
// above.
double generalized_exponential_shape(double variation);

// Returns F(x) of the fit with this mean, in the unit of `x`, and this coefficient of variation.
double generalized_exponential_cdf(double x, double mean, double variation);

struct LatencyBudgetInput {
    double variation = 1;                  // coefficient of variation of the latencies
    double objective = 0;                  // in any unit of time, the same for the deadline and the result
    double deadline = 0;                   // not less than the objective
    double target = kDisengagementTarget;  // allowed share of disengagement
};

// Returns the mean latency, in [0, deadline], at which the expected disengagement meets the target. The
// precision is 1/4096 of the deadline.
double mean_latency_budget(const LatencyBudgetInput& input);

}  // namespace gatetiller::policy
