// Outlier ejection: leaves an endpoint alone that fails, and tries it again with one request at a time.
//
// Each endpoint has an error rate, an average of recent failures in [0, 1]. At 0.25 it is ejected for a time
// that doubles with each ejection from 0.5 s to 4 s. Afterwards, while its error rate is at 0.1 or above, it
// gets a request only when it has none. An endpoint that refuses or resets connections, or gives no sign of
// life, is ejected at once. Times are microseconds.
#pragma once

#include <map>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/events.hpp"

namespace gatetiller::policy {

// The health of one endpoint, as this gateway's attempts show it.
class EndpointHealth {
public:
    // Whether a request may go there. `idle`: it has no attempt of this gateway.
    bool accepts(Micros now, bool idle) const {
        return now >= ejected_until_ && (!suspected() || idle);
    }
    // Whether its error rate is so high that it gets one request at a time.
    bool suspected() const {
        return error_rate_ >= kSuspectedErrorRate;
    }
    // Whether it refused a connection and no attempt has succeeded there since.
    bool refuses_connections() const {
        return refuses_connections_;
    }
    // Whether it rejected this class lately, or all classes.
    bool pauses(int class_index, Micros now) const;

    // Takes the connection's part of an outcome; before the functions below.
    void observe_connection(AttemptOutcome outcome);
    void observe_success();
    // Raises the error rate by a failure's step, ejects at the threshold, and returns what was added.
    double add_error(Micros now);
    // Takes back what a failure added.
    void withdraw_error(double added);
    // Ejects it, unless it is ejected.
    void eject(Micros now);
    // Sends it nothing of one class, or nothing at all, for the pause after a rejection.
    void pause_class(int class_index, Micros now);
    void pause_all(Micros now);
    // Forgets everything: a new process started there.
    void reset();

private:
    static constexpr double kSuspectedErrorRate = 0.1;

    double error_rate_ = 0;
    Micros ejected_until_ = 0;
    Micros ejection_time_ = 0;  // of the last ejection; 0: none that counts
    Micros paused_until_ = 0;
    std::map<int, Micros> class_paused_until_;
    bool refuses_connections_ = false;
};

// What the end of an attempt says about its endpoint.
enum class HealthVerdict {
    none,
    success,
    failure,     // to be attributed to the endpoint or to the request
    overloaded,  // rejected: it pauses
    unreachable  // refused, reset, or without a sign of life: it is ejected
};

struct HealthEvidence {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    Micros dispatched_at = 0;        // of the attempt
    Micros endpoint_last_alive = 0;  // last sign of life of its endpoint
};

HealthVerdict judge_health(const HealthEvidence& evidence);

// Whether a failure of `attempt` is the request's own: an attempt of it failed at another endpoint too.
bool failed_elsewhere(const ActiveRequest& request, const Attempt& attempt);

// Whether an endpoint that runs attempts is silent: no note and no answer for longer than its notes' period.
struct SilenceEvidence {
    Micros now = 0;
    Micros progress_period = 0;     // above 0
    Micros oldest_dispatch = 0;     // of its open attempts
    Micros last_alive = 0;          // last sign of life of the endpoint
    Micros gateway_resumed_at = 0;  // end of this gateway's last stall, during which it heard nothing
};

bool is_silent(const SilenceEvidence& evidence);

// Time after which a note that is overdue means silence.
constexpr Micros kSilenceGrace = 600 * kMillisecond;

}  // namespace gatetiller::policy
