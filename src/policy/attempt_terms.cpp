#include "policy/attempt_terms.hpp"

#include <algorithm>
#include <cstddef>

namespace gatetiller::policy {
namespace {

constexpr double kGrantMargin = 1.25;            // ratio of the grant to the expected need
constexpr double kSwapGrantMargin = 3;           // where endpoints count only the lesser of grant and need
constexpr double kSuspectedTimeoutRunTimes = 6;  // typical run times

constexpr int kLowestPriority = 0;
constexpr int kBestEffortPriority = 1;
constexpr int kSensitivePriority = 2;
constexpr int kHighestPriority = 3;

}  // namespace

double memory_grant_mb(const PolicySettings& settings, double endpoint_memory_mb, double expected_mb) {
    const double largest = settings.max_memory_share * endpoint_memory_mb;
    const double margin =
        settings.memory_shortage_policy == MemoryShortagePolicy::swap ? kSwapGrantMargin : kGrantMargin;
    return settings.supports_memory_grants && largest > 0 ? std::min(expected_mb * margin, largest) : 0;
}

int endpoint_priority(const PolicySettings& settings, const WorkloadStatistics& statistics,
                      const ActiveRequest& request, Micros now) {
    if (request.over_quota || now > request.objective_at)
        return kLowestPriority;
    const auto value_per_work = [&](std::size_t index) {
        return settings.classes[index].priority_weight / std::max(statistics.classes()[index].work, 1.0);
    };
    const double own = value_per_work(static_cast<std::size_t>(request.class_index));
    for (std::size_t index = 0; index < settings.classes.size(); ++index)
        if (value_per_work(index) > own)
            return statistics.class_statistics(request).sensitive ? kSensitivePriority : kBestEffortPriority;
    return kHighestPriority;
}

Micros attempt_timeout(const TimeoutInput& input) {
    const PolicySettings& settings = input.settings;
    const ActiveRequest& request = input.request;
    const Micros until_deadline = request.deadline_at - input.now;
    const bool last = static_cast<int>(request.attempts.size()) + 1 >= settings.max_attempts;
    const bool repeatable = settings.classes[request.class_index].idempotency != Idempotency::non_idempotent;
    if (settings.can_cancel || last || !repeatable || !input.endpoint_suspected)
        return until_deadline;
    return std::min(until_deadline, static_cast<Micros>(kSuspectedTimeoutRunTimes * input.typical_run_time));
}

}  // namespace gatetiller::policy
