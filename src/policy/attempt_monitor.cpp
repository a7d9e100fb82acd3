#include "policy/attempt_monitor.hpp"

#include <algorithm>

#include "policy/request_expiry.hpp"
#include "policy/retry_policy.hpp"

namespace gatetiller::policy {
namespace {

RunningVerdict check_attempt_at(const PolicyState& state, const EndpointStatus& endpoint,
                                const ActiveRequest& request, const Attempt& attempt) {
    const double slowdown = std::max(endpoint.slowdown, state.fleet.mean_slowdown());
    // At least the typical run time of the class: the run time of a query with a tiny estimate is mostly
    // overhead.
    const double expected_run_time = std::max(
        attempt.expected_run_time(), state.statistics.class_statistics(request).work / attempt.threads);
    const RunningInput input{state.now,
                             state.settings.progress_period,
                             state.resumed_at,
                             slowdown * expected_run_time,
                             state.statistics.run_time(request),
                             state.class_of(request).late_value_share,
                             request.objective_at,
                             attempt};
    return check_running(input);
}

// Cancels lost and overdue attempts so that they can be retried. The endpoint is not ejected, since it still
// accepts queries and responds to other attempts.
void cancel_unresponsive_attempts(PolicyState& state, const EndpointStatus& endpoint) {
    for (const AttemptRef& ref : endpoint.open_attempts) {
        ActiveRequest& request = state.requests[ref.slot];
        Attempt& attempt = request.attempts[ref.attempt];
        if (is_stuck(attempt, state.now))
            state.limit.remove(attempt);
        if (check_attempt_at(state, endpoint, request, attempt) != RunningVerdict::expected &&
            may_cancel_and_retry(state.settings, request))
            state.actions.emplace_back(CancelAttempt{request.id, ref.attempt});
    }
}

void renew_slow_start(PolicyState& state, EndpointStatus& endpoint) {
    endpoint.slow_start.expire(state.now - state.settings.overload_window);
    if (endpoint.slow_start.draw_expired(state.now))
        endpoint.slow_start.set_draw(state.random.uniform(), state.now + state.settings.overload_window);
}

void eject_if_silent(PolicyState& state, EndpointStatus& endpoint) {
    if (state.settings.progress_period <= 0 || endpoint.open_attempts.empty())
        return;
    const AttemptRef& oldest = endpoint.open_attempts.front();
    SilenceInput input;
    input.now = state.now;
    input.progress_period = state.settings.progress_period;
    input.oldest_dispatch = state.requests[oldest.slot].attempts[oldest.attempt].dispatched_at;
    input.last_active_at = endpoint.last_active_at;
    input.gateway_resumed_at = state.resumed_at;
    if (!is_silent(input))
        return;
    endpoint.health.eject(state.now);
    for (const AttemptRef& ref : endpoint.open_attempts) {
        const ActiveRequest& request = state.requests[ref.slot];
        if (may_cancel_and_retry(state.settings, request))
            state.actions.emplace_back(CancelAttempt{request.id, ref.attempt});
    }
}

}  // namespace

void monitor_attempts(PolicyState& state) {
    for (EndpointStatus& endpoint : state.fleet.endpoints()) {
        Fleet::decay_slowdown(endpoint, kTickPeriod);
        cancel_unresponsive_attempts(state, endpoint);
        renew_slow_start(state, endpoint);
        eject_if_silent(state, endpoint);
    }
}

}  // namespace gatetiller::policy
