// Schedules the health checks that poll endpoints for their load: the endpoint checked least recently first,
// each at most once per second, and at most 0.4 checks per arrived request.
#pragma once

#include "base/time.hpp"
#include "policy/fleet.hpp"

namespace gatetiller::policy {

class HealthCheckSchedule {
public:
    void count_arrival();
    // Returns the endpoint to check now and marks it as checked, or returns nullptr if no check is due.
    EndpointStatus* next(Fleet& fleet, Micros now);

private:
    double credit_ = 1;  // number of checks allowed now
};

}  // namespace gatetiller::policy
