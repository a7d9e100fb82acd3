// What an attempt is dispatched with: memory, priority and timeout. Times are microseconds, memory is
// megabytes.
#pragma once

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// The memory to grant for an expected need, or 0 where the endpoint chooses.
double memory_grant_mb(const PolicySettings& settings, double endpoint_memory_mb, double expected_mb);

// The priority at the endpoint: 0 for a request over its quota or past its objective, 3 for the class with
// the most value for its work, 2 for other sensitive classes, 1 for the rest.
int endpoint_priority(const PolicySettings& settings, const WorkloadStatistics& statistics,
                      const ActiveRequest& request, Micros now);

struct TimeoutInput {
    const PolicySettings& settings;
    const ActiveRequest& request;
    bool endpoint_suspected = false;  // by its error rate
    double usual_run = 0;             // run time of the request at the fleet's present speed
    Micros now = 0;
};

// The timeout of the next attempt: until the deadline. An attempt at a suspected endpoint ends early where it
// could not be cancelled later.
Micros attempt_timeout(const TimeoutInput& input);

}  // namespace gatetiller::policy
