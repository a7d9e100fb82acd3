// Exponentially weighted moving averages.
#pragma once

namespace gatetiller::policy {

// Weight of one sample in the average of a ratio, which follows about the last ten samples.
constexpr double kRatioStep = 0.1;
// Weight of one sample in the average cost of a class, which follows about the last thirty samples.
constexpr double kCostStep = 0.03;

// Updates a moving average with a sample of weight `step`.
inline void smooth(double& average, double sample, double step = kRatioStep) {
    average += step * (sample - average);
}

}  // namespace gatetiller::policy
