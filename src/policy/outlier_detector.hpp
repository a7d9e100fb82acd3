// Outlier ejection: stops dispatch to a failing endpoint for a time, then probes it with one request at a
// time.
//
// Each endpoint has an error rate, a moving average of failures in [0, 1]. At 0.25 the endpoint is ejected
// for a time that doubles with each ejection from 0.5 s to 4 s. Afterwards, while the error rate is at least
// 0.1, it receives a request only when it has none. An endpoint that refuses or resets connections, or is
// silent, is ejected immediately. Times are in microseconds.
#pragma once

#include <map>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/events.hpp"

namespace gatetiller::policy {

// Health of one endpoint, as observed by this gateway's attempts.
class EndpointHealth {
public:
    // Returns whether the endpoint may receive a request. `idle`: it has no open attempt of this gateway.
    bool accepts(Micros now, bool idle) const {
        return now >= ejected_until_ && (!suspected() || idle);
    }
    // Returns whether the error rate limits the endpoint to one request at a time.
    bool suspected() const {
        return error_rate_ >= kSuspectedErrorRate;
    }
    // Returns whether the endpoint refused a connection and no attempt has succeeded since.
    bool refuses_connections() const {
        return refuses_connections_;
    }
    // Returns whether dispatch of this class is paused because of a recent rejection.
    bool pauses(int class_index, Micros now) const;

    // Records whether the endpoint accepts connections. To be called before the functions below.
    void observe_connection(AttemptOutcome outcome);
    void observe_success();
    // Adds a failure to the error rate, ejects the endpoint at the threshold, and returns the increase.
    double add_error(Micros now);
    // Subtracts the increase by an earlier failure.
    void withdraw_error(double added);
    // Ejects the endpoint. Has no effect while it is ejected.
    void eject(Micros now);
    // Pauses dispatch of one class, or of all classes, after a rejection.
    void pause_class(int class_index, Micros now);
    void pause_all(Micros now);
    // Resets all state, because a new process of the endpoint has started.
    void reset();

private:
    static constexpr double kSuspectedErrorRate = 0.1;

    double error_rate_ = 0;
    Micros ejected_until_ = 0;
    Micros ejection_time_ = 0;  // duration of the last ejection; 0: none, or recovered since
    Micros paused_until_ = 0;
    std::map<int, Micros> class_paused_until_;
    bool refuses_connections_ = false;
};

// What the outcome of an attempt implies for its endpoint.
enum class HealthVerdict {
    none,
    success,
    failure,     // to be attributed to the endpoint or the request
    overloaded,  // rejected: dispatch to the endpoint is paused
    unreachable  // refused, reset or silent: the endpoint is ejected
};

struct HealthInput {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    Micros dispatched_at = 0;            // dispatch time of the attempt
    Micros endpoint_last_active_at = 0;  // time of the last activity of the endpoint
};

HealthVerdict evaluate_health(const HealthInput& input);

// Returns whether an attempt of the request failed at another endpoint than `attempt` did, so that the
// failure is attributed to the request.
bool failed_elsewhere(const ActiveRequest& request, const Attempt& attempt);

struct SilenceInput {
    Micros now = 0;
    Micros progress_period = 0;     // above 0
    Micros oldest_dispatch = 0;     // dispatch time of its oldest open attempt
    Micros last_active_at = 0;      // time of the last activity of the endpoint
    Micros gateway_resumed_at = 0;  // end of this gateway's last stall, during which it got no events
};

// Returns whether an endpoint with open attempts sent neither a progress message nor a response within the
// progress period plus kSilenceGrace.
bool is_silent(const SilenceInput& input);

// Delay beyond the progress period after which a missing progress message means silence.
constexpr Micros kSilenceGrace = 600 * kMillisecond;

}  // namespace gatetiller::policy
