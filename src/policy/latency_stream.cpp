#include "policy/latency_stream.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "policy/latency_budget.hpp"

namespace gatetiller::policy {
namespace {

constexpr std::size_t kWindowSamples = 1000;
constexpr Micros kWindowDuration = 10 * kSecondMicros;
constexpr std::size_t kMinSamples = 10;

}  // namespace

void LatencyStream::refit(const LatencyFitInput& input) {
    while (!window_.empty() &&
           (window_.size() > kWindowSamples || window_.front().at < input.now - kWindowDuration))
        window_.pop_front();
    const auto count = static_cast<double>(window_.size());
    double mean = 0;
    double mean_square = 0;
    double run_time = 0;
    double disengagement = 0;
    for (const LatencySample& sample : window_) {
        mean += sample.latency / count;
        mean_square += sample.latency * sample.latency / count;
        run_time += sample.run_time / count;
        disengagement += sample.disengagement / count;
    }
    fit_.has_samples = window_.size() >= kMinSamples;
    const double deviation = std::sqrt(std::max(0.0, mean_square - mean * mean));
    fit_.variation = fit_.has_samples ? deviation / std::max(mean, 1.0) : 1;
    fit_.run_time = fit_.has_samples ? run_time : input.expected_run_time;
    fit_.target_ratio = disengagement / kDisengagementTarget;
    fit_.budget = mean_latency_budget({fit_.variation, input.objective, input.deadline});
}

}  // namespace gatetiller::policy
