// Exponentially weighted moving averages.
#pragma once

namespace gatetiller::policy {

// Weight of one sample in a ratio's average: it follows about the last ten.
constexpr double kRatioStep = 0.1;
// Weight of one sample in what a class of requests usually costs: about the last thirty.
constexpr double kCostStep = 0.03;

// Moves an average towards a sample by `step` of the distance.
inline void smooth(double& average, double sample, double step = kRatioStep) {
    average += step * (sample - average);
}

}  // namespace gatetiller::policy
