#include "policy/sensitive_share.hpp"

#include <algorithm>

#include "policy/latency_budget.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kDecreaseStep = 0.05;  // divided by the mean variation
constexpr double kIncreaseStep = 0.25;  // as a share of the current value
constexpr double kLowestShare = 0.05;
constexpr double kHighestShare = 0.95;
constexpr double kStartingArrivals = 100;

}  // namespace

double next_sensitive_share(double share, const SensitiveStreamSummary& streams) {
    if (streams.worst_ratio > kHighestOnTargetRatio)
        share *= 1 + kIncreaseStep;
    else if (streams.worst_ratio < kHighestOnTargetRatio && streams.best_ratio < kLowestOnTargetRatio)
        share -= kDecreaseStep / std::max(streams.mean_variation, kLowestVariation);
    return std::clamp(share, kLowestShare, kHighestShare);
}

void SensitiveShare::count_arrival(bool sensitive) {
    arrivals_ += 1;
    sensitive_arrivals_ += sensitive ? 1 : 0;
    if (starting())
        share_ = std::clamp(sensitive_arrivals_ / arrivals_, kLowestShare, kHighestShare);
}

bool SensitiveShare::starting() const {
    return arrivals_ <= kStartingArrivals;
}

void SensitiveShare::adjust(const SensitiveStreamSummary& streams) {
    if (!starting())
        share_ = next_sensitive_share(share_, streams);
}

}  // namespace gatetiller::policy
