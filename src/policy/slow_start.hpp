// Slow start (rule 4): limits the work sent to a starting endpoint, so that it is not overloaded.
//
// An endpoint that started less than the slow-start window ago fails if the work that all gateways send to it
// within the overload window exceeds `overload_factor` times its reduced capacity. Each gateway uses at most
// an equal share of that budget. A query larger than the share may still be the only one that a gateway sends
// within a window, with a probability that keeps all gateways together within the budget: each gateway draws
// one random number per endpoint and window. Times are in microseconds, work in microseconds of one core.
#pragma once

#include <deque>
#include <utility>

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

// Returns whether an endpoint that started at `started_at` (0: long ago) is in slow start.
bool in_slow_start(const PolicySettings& settings, Micros started_at, Micros now);

// Returns the current share of an endpoint's full capacity, which grows from the configured share at its
// start to 1.
double warm_capacity_share(const PolicySettings& settings, Micros started_at, Micros now);

// Returns the work that all gateways together may send to a starting endpoint within the overload window.
double slow_start_budget(const PolicySettings& settings, double cores);

struct SlowStartRequest {
    double budget = 0;      // budget of the endpoint for all gateways
    int gateway_count = 1;  // gateways that share the budget
    double work = 0;        // of a query that is not the first of the window
    double first_work = 0;  // of the first query of the window
};

// Work that this gateway has sent to one starting endpoint within the overload window.
class SlowStartUsage {
public:
    // Returns whether one more query is within this gateway's share, or is admitted by the random draw as the
    // only one of the window.
    bool admits(const SlowStartRequest& request) const;
    void add(Micros now, double work);
    // Removes work sent before `window_start`.
    void expire(Micros window_start);
    // Returns whether a new random number must be drawn.
    bool draw_expired(Micros now) const;
    // Sets the random number, uniform in [0, 1), which is valid until `until`.
    void set_draw(double draw, Micros until);

private:
    std::deque<std::pair<Micros, double>> sent_;  // dispatch time and work
    double draw_ = 1;
    Micros draw_until_ = 0;
};

}  // namespace gatetiller::policy
