// Exponentially weighted moving averages.
#pragma once

namespace gatetiller::policy {

// Weight of one sample in the average of a ratio, which follows about the last ten samples.
constexpr double kRatioWeight = 0.1;
// Weight of one sample in the average cost of a class, which follows about the last thirty samples.
constexpr double kCostWeight = 0.03;

// Updates a moving average with a sample of the given weight.
inline void smooth(double& average, double sample, double weight = kRatioWeight) {
    average += weight * (sample - average);
}

}  // namespace gatetiller::policy
