#include "policy/request_lifecycle.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "policy/attempt_terms.hpp"
#include "policy/endpoint_selection.hpp"
#include "policy/request_expiry.hpp"
#include "policy/slow_start.hpp"

namespace gatetiller::policy {
namespace {

WaitingInput waiting_input(const PolicyState& state, const ActiveRequest& request) {
    WaitingInput input;
    input.now = state.now;
    input.objective_at = request.objective_at;
    input.deadline_at = request.deadline_at;
    input.run_time = state.statistics.run_time(request);
    input.late_value_share = state.class_of(request).late_value_share;
    return input;
}

double shortest_objective(const PolicySettings& settings) {
    Micros shortest = settings.classes.front().latency_objective;
    for (const ClassSettings& class_settings : settings.classes)
        shortest = std::min(shortest, class_settings.latency_objective);
    return static_cast<double>(shortest);
}

}  // namespace

bool RequestLifecycle::may_attempt(const ActiveRequest& request) const {
    const AttemptInput input{state_->settings, state_->retry_budget, request, state_->now};
    return check_attempt(input) == AttemptVerdict::allowed;
}

QueueInput RequestLifecycle::queue_input(const ActiveRequest& request) const {
    return {state_->settings, request, state_->statistics.run_time(request),
            state_->statistics.class_statistics(request).sensitive, state_->now};
}

void RequestLifecycle::advance(int slot) {
    const ActiveRequest& request = state_->requests[slot];
    if (request.finished || request.has_open_attempt() || request.queued)
        return;
    if (!may_attempt(request)) {
        terminate(slot, TerminationReason::attempts_exhausted);
        return;
    }
    if (state_->key_order.allows_dispatch(state_->requests, request, state_->now))
        state_->queue.insert(slot, queue_input(request));
}

void RequestLifecycle::requeue(int slot) {
    state_->queue.erase(slot);
    state_->queue.insert(slot, queue_input(state_->requests[slot]));
}

void RequestLifecycle::dispatch_queued() {
    const auto try_slot = [this](int slot) {
        return try_dispatch(slot);
    };
    bool dispatched = true;
    while (dispatched) {
        const bool sensitive_first = state_->random.uniform() < state_->sensitive_share.value();
        dispatched = state_->queue.serve(sensitive_first, try_slot);
    }
}

bool RequestLifecycle::try_dispatch(int slot) {
    const ActiveRequest& request = state_->requests[slot];
    if (state_->now < request.earliest_attempt_at || !may_attempt(request))
        return false;
    const SelectionInput input{state_->settings, state_->requests, state_->fleet, state_->statistics,
                               state_->limit,    state_->random,   state_->now};
    const int endpoint = select_endpoint(input, request);
    if (endpoint == kNoEndpoint)
        return false;
    dispatch(slot, endpoint);
    return true;
}

void RequestLifecycle::dispatch(int slot, int endpoint) {
    ActiveRequest& request = state_->requests[slot];
    EndpointStatus& status = state_->fleet[endpoint];
    const ClassSettings& class_settings = state_->class_of(request);
    const ClassStatistics& statistics = state_->statistics.class_statistics(request);
    state_->queue.erase(slot);
    const double granted_mb = memory_grant_mb(state_->settings, status.memory_mb, request.memory_mb);
    grant_resources(request, granted_mb);
    const TimeoutInput timeout{state_->settings, request, status.health.suspected(),
                               state_->statistics.run_time(request) * state_->fleet.mean_slowdown(),
                               state_->now};
    state_->actions.emplace_back(
        DispatchAttempt{request.id, status.description.id, attempt_timeout(timeout)});
    if (!request.attempts.empty())
        state_->retry_budget.count_retry(state_->now);
    if (in_slow_start(state_->settings, status.description.started_at, state_->now))
        status.slow_start.add(state_->now,
                              slow_start_work({class_settings, statistics, request.work, state_->now}));
    Attempt attempt;
    attempt.endpoint = endpoint;
    attempt.dispatched_at = state_->now;
    attempt.work = request.work;
    attempt.threads = class_settings.threads;
    attempt.memory_mb = request.memory_mb;
    attempt.granted_mb = granted_mb;
    attempt.sensitive = statistics.sensitive;
    state_->limit.add(attempt);
    state_->fleet.add_attempt(endpoint, {slot, static_cast<int>(request.attempts.size())}, attempt);
    request.attempts.push_back(attempt);
}

// Grants memory and priority if there is memory to grant or the priority has changed. `memory_mb` is 0 for a
// running attempt, whose memory cannot be changed.
void RequestLifecycle::grant_resources(ActiveRequest& request, double memory_mb) {
    const int priority = endpoint_priority(state_->settings, state_->statistics, request, state_->now);
    const bool new_priority = state_->settings.supports_priorities && priority != request.priority;
    if (memory_mb <= 0 && !new_priority)
        return;
    state_->actions.emplace_back(ResourceGrant{request.id, memory_mb, priority});
    request.priority = priority;
}

void RequestLifecycle::terminate(int slot, TerminationReason reason) {
    ActiveRequest& request = state_->requests[slot];
    if (request.finished)
        return;
    if (may_shed(state_->class_of(request), request)) {
        // Spreads the hints over half of the range, so that clients do not retry at the same time.
        const double hint =
            static_cast<double>(state_->settings.max_retry_after) * (0.5 + 0.5 * state_->random.uniform());
        const Micros retry_after = state_->settings.sends_retry_after ? static_cast<Micros>(hint) : 0;
        state_->actions.emplace_back(ShedRequest{request.id, retry_after, reason});
    } else {
        state_->actions.emplace_back(FailRequest{request.id, reason});
    }
    finish(slot);
}

void RequestLifecycle::finish(int slot) {
    state_->queue.erase(slot);
    state_->requests[slot].finished = true;
    cancel_open_attempts(slot);
    state_->requests.release_if_finished(slot);
}

void RequestLifecycle::cancel_open_attempts(int slot) {
    const ActiveRequest& request = state_->requests[slot];
    if (!state_->settings.can_cancel || request.response_started)
        return;
    for (std::size_t attempt = 0; attempt < request.attempts.size(); ++attempt)
        if (request.attempts[attempt].open)
            state_->actions.emplace_back(CancelAttempt{request.id, static_cast<int>(attempt)});
}

void RequestLifecycle::expire() {
    for (int slot = 0; slot < state_->requests.size(); ++slot) {
        const ActiveRequest& request = state_->requests[slot];
        if (!request.in_use || request.finished || request.response_started)
            continue;
        if (request.has_open_attempt())
            expire_running(slot);
        else
            expire_waiting(slot);
    }
}

void RequestLifecycle::expire_waiting(int slot) {
    const ActiveRequest& request = state_->requests[slot];
    const std::optional<TerminationReason> reason = check_waiting(waiting_input(*state_, request));
    if (reason)
        terminate(slot, *reason);
    else if (!may_attempt(request))
        terminate(slot, TerminationReason::attempts_exhausted);
    else if (request.queued && request.side != QueueSide::deferred &&
             select_side(queue_input(request)) == QueueSide::deferred)
        requeue(slot);
}

void RequestLifecycle::expire_running(int slot) {
    ActiveRequest& request = state_->requests[slot];
    const PolicySettings& settings = state_->settings;
    if (has_lost_value(waiting_input(*state_, request)) && settings.can_cancel &&
        state_->class_of(request).idempotency == Idempotency::idempotent) {
        terminate(slot, TerminationReason::objective_missed);
        return;
    }
    if (settings.supports_priorities)
        grant_resources(request, 0);
}

void RequestLifecycle::defer_overload() {
    std::vector<DeferralCandidate> waiting;
    for (int slot = 0; slot < state_->requests.size(); ++slot) {
        const ActiveRequest& request = state_->requests[slot];
        if (request.queued && request.side != QueueSide::deferred)
            waiting.push_back({work_per_value(queue_input(request)), slot, request.work});
    }
    const PolicySettings& settings = state_->settings;
    const double limit =
        backlog_limit({state_->fleet.cores(), settings.instance_count, shortest_objective(settings)});
    for (const int slot : select_deferred(std::move(waiting), limit)) {
        state_->requests[slot].deferred = true;
        requeue(slot);
    }
}

}  // namespace gatetiller::policy
