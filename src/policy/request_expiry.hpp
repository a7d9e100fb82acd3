// Decides when a request is terminated and when a running attempt is cancelled for a retry. Times are in
// microseconds.
#pragma once

#include <optional>

#include "base/time.hpp"
#include "policy/actions.hpp"
#include "policy/active_request.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

struct WaitingInput {
    Micros now = 0;
    Micros objective_at = 0;
    Micros deadline_at = 0;
    double run_time = 0;          // expected run time
    double late_value_share = 0;  // value of a response after the objective
};

// Returns whether the objective has passed and a response after it has no value.
bool has_lost_value(const WaitingInput& input);

// Returns why a request without an open attempt must be terminated, or nothing. The final response is sent
// shortly before the deadline, so that the client still reads it.
std::optional<TerminationReason> check_waiting(const WaitingInput& input);

struct RunningInput {
    Micros now = 0;
    Micros progress_period = 0;     // period of progress messages; 0: none are sent
    Micros gateway_resumed_at = 0;  // end of this gateway's last stall, during which it got no events
    double typical_run_time = 0;    // run time of such an attempt at the current speed of its endpoint
    double run_time = 0;            // expected run time of a new attempt
    double late_value_share = 0;
    Micros objective_at = 0;
    const Attempt& attempt;
};

enum class RunningVerdict {
    expected,
    lost,    // its progress messages stopped: no response is expected, even if the endpoint is alive
    overdue  // no progress message, far above its run time, and a retry can still meet the objective
};

// Returns whether an open attempt is still expected to respond.
RunningVerdict check_running(const RunningInput& input);

// Returns whether an open attempt runs so much longer than expected that it no longer counts against the
// concurrency limit. A stuck attempt must not block dispatch to other endpoints.
bool is_stuck(const Attempt& attempt, Micros now);

// Returns whether an attempt with `remaining` run time is to be cancelled because a new one would complete
// far sooner.
bool is_runaway(double remaining, double typical_run_time);

}  // namespace gatetiller::policy
