// When endpoints are asked for their load by health checks: the one not asked for longest, each at most once
// a second, and at most 0.4 checks for each request that arrived.
#pragma once

#include "base/time.hpp"
#include "policy/fleet.hpp"

namespace gatetiller::policy {

class HealthCheckSchedule {
public:
    void count_arrival();
    // The endpoint to check now, which then counts as checked, or nullptr.
    EndpointStatus* next(Fleet& fleet, Micros now);

private:
    double credit_ = 1;  // checks that may be made
};

}  // namespace gatetiller::policy
