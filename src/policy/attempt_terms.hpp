// Memory, priority and timeout of an attempt at its dispatch. Times are in microseconds, memory in megabytes.
#pragma once

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// Returns the memory to grant for an expected need, or 0 if the endpoint chooses.
double memory_grant_mb(const PolicySettings& settings, double endpoint_memory_mb, double expected_mb);

// Returns the priority at the endpoint: 0 for a request over its quota or past its objective, 3 for the class
// with the highest value per work, 2 for other sensitive classes, 1 for the rest.
int endpoint_priority(const PolicySettings& settings, const WorkloadStatistics& statistics,
                      const ActiveRequest& request, Micros now);

struct TimeoutInput {
    const PolicySettings& settings;
    const ActiveRequest& request;
    bool endpoint_suspected = false;  // by its error rate
    double typical_run_time = 0;      // run time of the request at the current speed of the fleet
    Micros now = 0;
};

// Returns the timeout of the next attempt, which is the time until the deadline. At a suspected endpoint the
// timeout is shorter if the attempt could not be cancelled later and the request may get another attempt.
Micros attempt_timeout(const TimeoutInput& input);

}  // namespace gatetiller::policy
