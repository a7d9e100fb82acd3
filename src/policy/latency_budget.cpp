#include "policy/latency_budget.hpp"

#include <algorithm>
#include <boost/math/special_functions/digamma.hpp>
#include <boost/math/special_functions/trigamma.hpp>
#include <cmath>

namespace gatetiller::policy {
namespace {

constexpr int kBudgetBisections = 12;
constexpr int kShapeBisections = 60;
// Range of log(phi). The variation decreases as phi grows.
constexpr double kMinLogShape = -14;
constexpr double kMaxLogShape = 60;

// Returns the mean of the distribution with this shape, in units of its scale omega.
double mean_over_scale(double shape) {
    return boost::math::digamma(shape + 1) - boost::math::digamma(1.0);
}

// Returns the variance of the distribution with this shape, in units of its scale squared.
double variance_over_scale(double shape) {
    return boost::math::trigamma(1.0) - boost::math::trigamma(shape + 1);
}

double cdf(double x, double shape, double scale) {
    return x <= 0 ? 0 : std::exp(shape * std::log1p(-std::exp(-x / scale)));
}

}  // namespace

double generalized_exponential_shape(double variation) {
    variation = std::clamp(variation, kMinVariation, kMaxVariation);
    double low = kMinLogShape;
    double high = kMaxLogShape;
    for (int i = 0; i < kShapeBisections; ++i) {
        const double middle = (low + high) / 2;
        const double shape = std::exp(middle);
        if (std::sqrt(variance_over_scale(shape)) / mean_over_scale(shape) > variation)
            low = middle;
        else
            high = middle;
    }
    return std::exp((low + high) / 2);
}

double generalized_exponential_cdf(double x, double mean, double variation) {
    const double shape = generalized_exponential_shape(variation);
    return cdf(x, shape, mean / mean_over_scale(shape));
}

double mean_latency_budget(const LatencyBudgetInput& input) {
    const double shape = generalized_exponential_shape(input.variation);
    const double factor = mean_over_scale(shape);
    double low = 0;
    double high = input.deadline;
    double mean = 0;
    for (int i = 0; i < kBudgetBisections; ++i) {
        mean = (low + high) / 2;
        const double by_objective = cdf(input.objective, shape, mean / factor);
        const double by_deadline = cdf(input.deadline, shape, mean / factor);
        const double ratio =
            ((by_deadline - by_objective) * kLateDisengagement + (1 - by_deadline)) / input.target;
        if (ratio >= kMinOnTargetRatio && ratio <= kMaxOnTargetRatio)
            break;
        if (ratio < kMinOnTargetRatio)
            low = mean;
        else
            high = mean;
    }
    return mean;
}

}  // namespace gatetiller::policy
