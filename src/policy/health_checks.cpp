#include "policy/health_checks.hpp"

#include <algorithm>

namespace gatetiller::policy {
namespace {

constexpr double kChecksPerRequest = 0.4;
constexpr double kMaxCredit = 2;

}  // namespace

void HealthCheckSchedule::count_arrival() {
    credit_ = std::min(credit_ + kChecksPerRequest, kMaxCredit);
}

EndpointStatus* HealthCheckSchedule::next(Fleet& fleet, Micros now) {
    EndpointStatus* oldest = nullptr;
    for (EndpointStatus& endpoint : fleet.endpoints())
        if (endpoint.is_ready() &&
            (oldest == nullptr || endpoint.health_checked_at < oldest->health_checked_at))
            oldest = &endpoint;
    if (oldest == nullptr || credit_ < 1 || now - oldest->health_checked_at < kHealthCheckInterval)
        return nullptr;
    credit_ -= 1;
    oldest->health_checked_at = now;
    return oldest;
}

}  // namespace gatetiller::policy
