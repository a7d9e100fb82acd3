// When a request is given up, and when a running attempt is given up for another one. Times are microseconds.
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
    double run_time = 0;          // expected
    double late_value_share = 0;  // value of an answer after the objective
};

// Whether an answer after the objective has no value and the objective has passed.
bool is_worthless(const WaitingInput& input);

// Why a request without an open attempt is given up, or nothing. Answers go out a little before the deadline,
// so that the client still reads them.
std::optional<TerminationReason> judge_waiting(const WaitingInput& input);

struct RunningInput {
    Micros now = 0;
    Micros progress_period = 0;     // of notes; 0: none are sent
    Micros gateway_resumed_at = 0;  // end of this gateway's last stall, during which it heard nothing
    double usual_run = 0;           // run time of such an attempt at its endpoint's present speed
    double run_time = 0;            // expected run time of a new attempt
    double late_value_share = 0;
    Micros objective_at = 0;
    const Attempt& attempt;
};

enum class RunningVerdict {
    expected,
    lost,    // its notes stopped though its endpoint may live: its answer will not come
    overdue  // no note ever, far over its run time, and another attempt can still meet the objective
};

// Whether an open attempt still is expected to answer.
RunningVerdict judge_running(const RunningInput& input);

// Whether an open attempt runs so much longer than expected that it is no longer counted in the concurrency
// limit: what is stuck must not bar other endpoints.
bool is_stuck(const Attempt& attempt, Micros now);

// Whether an attempt with `remaining` run time ahead is given up: a new one would be done far sooner.
bool is_runaway(double remaining, double usual_run);

}  // namespace gatetiller::policy
