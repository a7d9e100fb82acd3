#include "policy/sensitive_share.hpp"

#include <algorithm>

#include "policy/latency_budget.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kDecreaseStep = 0.05;  // divided by the mean variation
constexpr double kIncreaseStep = 0.25;  // as a share of the current value
constexpr double kMinShare = 0.05;
constexpr double kMaxShare = 0.95;
constexpr double kInitialArrivals = 100;

}  // namespace

double next_sensitive_share(double share, const SensitiveStreamSummary& streams) {
    if (streams.worst_ratio > kMaxOnTargetRatio)
        share *= 1 + kIncreaseStep;
    else if (streams.worst_ratio < kMaxOnTargetRatio && streams.best_ratio < kMinOnTargetRatio)
        share -= kDecreaseStep / std::max(streams.mean_variation, kMinVariation);
    return std::clamp(share, kMinShare, kMaxShare);
}

void SensitiveShare::count_arrival(bool sensitive) {
    arrivals_ += 1;
    sensitive_arrivals_ += sensitive ? 1 : 0;
    if (is_starting())
        share_ = std::clamp(sensitive_arrivals_ / arrivals_, kMinShare, kMaxShare);
}

bool SensitiveShare::is_starting() const {
    return arrivals_ <= kInitialArrivals;
}

void SensitiveShare::adjust(const SensitiveStreamSummary& streams) {
    if (!is_starting())
        share_ = next_sensitive_share(share_, streams);
}

}  // namespace gatetiller::policy
