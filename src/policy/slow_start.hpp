// Slow start (rule 4): limits the work that a starting endpoint gets, so that it is not overloaded.
//
// An endpoint that started less than the slow-start window ago fails once the work sent to it within the
// overload window, by all gateways, passes `overload_factor` times its reduced capacity. Each gateway keeps
// to its even part of that budget. A query larger than a part may still be the only one that a gateway sends
// in a window, with a probability by which all gateways together keep to the budget: each draws one number
// for each endpoint and window. Times are microseconds, work is microseconds of one core.
#pragma once

#include <deque>
#include <utility>

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

// Whether an endpoint that started at `started_at` (0: long ago) is in slow start.
bool in_slow_start(const PolicySettings& settings, Micros started_at, Micros now);

// Share of its capacity that an endpoint has by now: from the configured share at its start up to 1.
double warm_capacity_share(const PolicySettings& settings, Micros started_at, Micros now);

// Work that all gateways together may send to a starting endpoint within the overload window.
double slow_start_budget(const PolicySettings& settings, double cores);

struct SlowStartRequest {
    double budget = 0;      // of the endpoint, for all gateways
    int gateway_count = 1;  // that share it
    double work = 0;        // counted for a query after the window's first
    double first_work = 0;  // counted for the window's first query
};

// What this gateway has sent to one starting endpoint.
class SlowStartUse {
public:
    // Whether one more query keeps to this gateway's part, or is the window's only one by its draw.
    bool admits(const SlowStartRequest& request) const;
    void add(Micros now, double work);
    // Drops what was sent before the window that ends now.
    void expire(Micros window_start);
    // Whether a new number is to be drawn.
    bool draw_expired(Micros now) const;
    // `draw` is uniform in [0, 1) and holds until `until`.
    void set_draw(double draw, Micros until);

private:
    std::deque<std::pair<Micros, double>> sent_;  // when, and how much work
    double draw_ = 1;
    Micros draw_until_ = 0;
};

}  // namespace gatetiller::policy
