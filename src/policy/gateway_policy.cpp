#include "policy/gateway_policy.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "policy/attempt_monitor.hpp"
#include "policy/policy_state.hpp"
#include "policy/request_expiry.hpp"
#include "policy/request_lifecycle.hpp"

namespace gatetiller {
namespace {

using policy::ActiveRequest;
using policy::Attempt;
using policy::EndpointStatus;
using policy::HealthVerdict;

constexpr Micros kRefitPeriod = 500 * kMillisecond;
constexpr Micros kAdjustPeriod = kSecondMicros;
constexpr double kWatchRetryShare = 0.25;  // of the watch deadline, after which the subscription is retried
constexpr Micros kStallThreshold = 200 * kMillisecond;  // without any event: this gateway was stalled
constexpr double kWaitReasonTableLock = 2;  // AttemptProgress::value for waiting on a table group lock
constexpr int kMaxTableLockRetries = 2;     // retries of one request because of table group locks
constexpr double kMinFractionDone = 0.01;

// Returns whether the endpoint may still run an attempt with this outcome.
bool may_still_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::timed_out || outcome == AttemptOutcome::cancelled;
}

}  // namespace

class GatewayPolicy::Impl {
public:
    Impl(Micros now, std::uint64_t seed, PolicySettings settings)
        : state_(now, seed, std::move(settings)),
          lifecycle_(state_),
          last_refit_at_(now),
          last_adjusted_at_(now) {}

    std::vector<Action> start();
    std::vector<Action> handle(Micros at, const Event& event);
    double sensitive_share() const {
        return state_.sensitive_share.value();
    }

private:
    void on(const EndpointUpdate& update);
    void on(const RequestArrived& arrival);
    void on(const ResponseStarted& started);
    void on(const AttemptCompleted& completed);
    void on(const AttemptProgress& progress);
    void on(const HealthCheckCompleted& check);
    void on(const PeerMessage& message);
    void on(const ClientDisconnected& disconnected);
    void on(const TimerFired& timer);

    void fill_request(ActiveRequest& request, const RequestArrived& arrival, int class_index);
    int class_index(const std::string& name) const;
    int tenant_index(const std::string& name) const;
    Attempt* find_attempt(int slot, int attempt);

    void update_health(ActiveRequest& request, Attempt& attempt, AttemptOutcome outcome);
    void attribute_failure(ActiveRequest& request, Attempt& attempt);
    void pause_after_rejection(EndpointStatus& endpoint, int class_index) const;
    void learn_from_success(const ActiveRequest& request, const Attempt& attempt,
                            const AttemptCompleted& completed);

    void learn_spill(const ActiveRequest& request, Attempt& attempt, double missing_mb);
    void observe_fraction(ActiveRequest& request, Attempt& attempt, const AttemptProgress& progress);
    void cancel(const ActiveRequest& request, int attempt);

    void advance_key_order();
    void adjust_shares();
    void resubscribe();
    void check_health();

    policy::PolicyState state_;
    policy::RequestLifecycle lifecycle_;
    bool subscribed_ = false;  // to the endpoint list
    Micros last_watch_at_ = 0;
    Micros last_refit_at_;
    Micros last_adjusted_at_;
};

std::vector<Action> GatewayPolicy::Impl::start() {
    if (state_.settings.watches_endpoints) {
        state_.actions.emplace_back(WatchEndpoints{});
        last_watch_at_ = state_.now;
    }
    state_.actions.emplace_back(StartTimer{policy::kTickPeriod, 0});
    return std::exchange(state_.actions, {});
}

std::vector<Action> GatewayPolicy::Impl::handle(Micros at, const Event& event) {
    if (at > state_.now + kStallThreshold)
        state_.resumed_at = at;
    state_.now = std::max(state_.now, at);
    state_.retry_budget.expire(state_.now - state_.settings.retry_budget_window);
    std::visit(
        [this](const auto& concrete_event) {
            on(concrete_event);
        },
        event);
    lifecycle_.dispatch_queued();
    return std::exchange(state_.actions, {});
}

// ---- Endpoint events

void GatewayPolicy::Impl::on(const EndpointUpdate& update) {
    if (update.kind != EndpointUpdateKind::cached)
        subscribed_ = update.kind != EndpointUpdateKind::source_lost;
    state_.fleet.update(update, state_.now, state_.random);
}

void GatewayPolicy::Impl::on(const HealthCheckCompleted& check) {
    const int endpoint = state_.fleet.find(check.engine);
    if (endpoint != policy::Fleet::kNotFound && check.outcome == AttemptOutcome::succeeded)
        state_.fleet.observe_report(endpoint, check.load_report, state_.statistics.typical_query(),
                                    state_.now);
}

// ---- Arrivals

int GatewayPolicy::Impl::class_index(const std::string& name) const {
    const auto& classes = state_.settings.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const ClassSettings& class_settings) {
        return class_settings.name == name;
    });
    return found == classes.end() ? -1 : static_cast<int>(found - classes.begin());
}

// Returns the index of a tenant. An unknown tenant is treated as the first one.
int GatewayPolicy::Impl::tenant_index(const std::string& name) const {
    const auto& tenants = state_.settings.tenants;
    int index = 0;
    for (std::size_t tenant = 0; tenant < tenants.size(); ++tenant)
        if (tenants[tenant].name == name)
            index = static_cast<int>(tenant);
    return index;
}

void GatewayPolicy::Impl::on(const RequestArrived& arrival) {
    const int index = class_index(arrival.class_name);
    if (index < 0 || state_.requests.find(arrival.id) != policy::RequestTable::kNotFound)
        return;
    const int slot = state_.requests.add(arrival.id);
    ActiveRequest& request = state_.requests[slot];
    state_.retry_budget.count_request(state_.now);
    state_.health_checks.count_arrival();
    fill_request(request, arrival, index);
    state_.statistics.add_to_typical_query(request);
    state_.sensitive_share.count_arrival(state_.statistics.class_statistics(request).sensitive);
    if (state_.class_of(request).ordered_by_key && !arrival.ordering_key.empty()) {
        request.ordering_key = arrival.ordering_key;
        state_.key_order.add(state_.requests, slot);
    }
    lifecycle_.advance(slot);
}

void GatewayPolicy::Impl::fill_request(ActiveRequest& request, const RequestArrived& arrival,
                                       int class_index) {
    const Micros now = state_.now;
    request.class_index = class_index;
    request.tenant_index = tenant_index(arrival.tenant);
    const policy::CostEstimate cost = state_.statistics.estimate(arrival, class_index, now);
    request.work = cost.work;
    request.estimated_work = cost.estimated_work;
    request.memory_mb = cost.memory_mb;
    request.estimated_memory_mb = cost.estimated_memory_mb;
    request.table_group = arrival.table_group;
    request.arrived_at = now;
    request.deadline_at = now + arrival.time_left;
    const ClassSettings& class_settings = state_.class_of(request);
    const auto stretch =
        static_cast<Micros>(class_settings.objective_run_factor * state_.statistics.run_time(request));
    request.objective_at = now + std::min(arrival.time_left, class_settings.latency_objective + stretch);
    request.dispatch_by = state_.statistics.dispatch_by(request, now);
    if (!state_.quotas.empty())
        request.over_quota = !state_.quotas[request.tenant_index].try_consume(now);
}

// ---- Client events

void GatewayPolicy::Impl::on(const ResponseStarted& started) {
    const int slot = state_.requests.find(started.id);
    if (slot != policy::RequestTable::kNotFound)
        state_.requests[slot].response_started = true;
}

void GatewayPolicy::Impl::on(const ClientDisconnected& disconnected) {
    const int slot = state_.requests.find(disconnected.id);
    if (slot != policy::RequestTable::kNotFound)
        lifecycle_.finish(slot);
}

void GatewayPolicy::Impl::on(const PeerMessage&) {}

// ---- Attempts

Attempt* GatewayPolicy::Impl::find_attempt(int slot, int attempt) {
    if (slot == policy::RequestTable::kNotFound)
        return nullptr;
    std::vector<Attempt>& attempts = state_.requests[slot].attempts;
    if (attempt < 0 || attempt >= static_cast<int>(attempts.size()))
        return nullptr;
    return &attempts[attempt];
}

void GatewayPolicy::Impl::on(const AttemptCompleted& completed) {
    const int slot = state_.requests.find(completed.id);
    Attempt* const found = find_attempt(slot, completed.attempt);
    if (found == nullptr || !found->open)
        return;
    ActiveRequest& request = state_.requests[slot];
    Attempt& attempt = *found;
    EndpointStatus& endpoint = state_.fleet[attempt.endpoint];
    const AttemptOutcome outcome = completed.outcome;
    attempt.open = false;
    state_.fleet.remove_attempt(attempt.endpoint, {slot, completed.attempt}, attempt);
    state_.limit.remove(attempt);
    if (!may_still_run(outcome) && outcome != AttemptOutcome::connection_refused)
        endpoint.last_active_at = state_.now;
    if (completed.load_report)
        state_.fleet.observe_report(attempt.endpoint, completed.load_report,
                                    state_.statistics.typical_query(), state_.now);
    update_health(request, attempt, outcome);
    const bool succeeded = outcome == AttemptOutcome::succeeded;
    const bool ended_while_endpoint_active =
        may_still_run(outcome) && endpoint.last_active_at >= attempt.dispatched_at;
    if (!state_.settings.cost_in_responses && (succeeded || ended_while_endpoint_active))
        state_.limit.observe_late(!succeeded ||
                                  completed.duration > request.objective_at - request.arrived_at);
    if (!proves_not_executed(outcome) && request.first_executed_endpoint < 0) {
        request.first_executed_endpoint = attempt.endpoint;
        request.first_executed_at = attempt.dispatched_at;
    }
    if (succeeded)
        learn_from_success(request, attempt, completed);
    if (request.in_key_order && (may_still_run(outcome) || outcome == AttemptOutcome::connection_reset))
        state_.key_order.pause(request.ordering_key, state_.now + state_.settings.key_order_gap);
    if (completed.request_finished) {
        state_.queue.erase(slot);
        request.finished = true;
    }
    if (outcome == AttemptOutcome::rejected)
        request.earliest_attempt_at = state_.now + policy::kTickPeriod;
    lifecycle_.advance(slot);
    state_.requests.release_if_finished(slot);
}

void GatewayPolicy::Impl::update_health(ActiveRequest& request, Attempt& attempt, AttemptOutcome outcome) {
    EndpointStatus& endpoint = state_.fleet[attempt.endpoint];
    endpoint.health.observe_connection(outcome);
    switch (policy::evaluate_health({outcome, attempt.dispatched_at, endpoint.last_active_at})) {
        case HealthVerdict::none:
            break;
        case HealthVerdict::success:
            endpoint.health.observe_success();
            break;
        case HealthVerdict::failure:
            attribute_failure(request, attempt);
            break;
        case HealthVerdict::overloaded:
            pause_after_rejection(endpoint, request.class_index);
            break;
        case HealthVerdict::unreachable:
            endpoint.health.eject(state_.now);
            break;
    }
}

// Attributes a failure to the endpoint, or to the request if the request also failed at another endpoint. In
// the latter case the additions of the earlier failures to the error rates of their endpoints are withdrawn,
// so that a request that no endpoint can execute ejects none.
void GatewayPolicy::Impl::attribute_failure(ActiveRequest& request, Attempt& attempt) {
    attempt.failed = true;
    if (!policy::failed_elsewhere(request, attempt)) {
        attempt.attributed_error = state_.fleet[attempt.endpoint].health.add_error(state_.now);
        return;
    }
    for (Attempt& earlier : request.attempts) {
        state_.fleet[earlier.endpoint].health.withdraw_error(earlier.attributed_error);
        earlier.attributed_error = 0;
    }
}

// Pauses dispatch to an endpoint after a rejection. If the endpoint reports free capacity the rejection is
// specific to this class, and only this class is paused.
void GatewayPolicy::Impl::pause_after_rejection(EndpointStatus& endpoint, int class_index) const {
    if (state_.fleet.reports_free_capacity(endpoint, state_.statistics.typical_query(), state_.now))
        endpoint.health.pause_class(class_index, state_.now);
    else
        endpoint.health.pause_all(state_.now);
}

void GatewayPolicy::Impl::learn_from_success(const ActiveRequest& request, const Attempt& attempt,
                                             const AttemptCompleted& completed) {
    state_.statistics.learn_cost(request, attempt, completed);
    const std::optional<double> contention = state_.statistics.learn_run_time(request, attempt, completed);
    if (contention)
        state_.limit.observe_contention(*contention);
    state_.statistics.add_response(request, completed.duration, state_.now);
    state_.fleet.observe_completion(attempt.endpoint,
                                    attempt.slowdown(static_cast<double>(completed.duration)));
}

void GatewayPolicy::Impl::cancel(const ActiveRequest& request, int attempt) {
    state_.actions.emplace_back(CancelAttempt{request.id, attempt});
}

void GatewayPolicy::Impl::on(const AttemptProgress& progress) {
    const int slot = state_.requests.find(progress.id);
    Attempt* const attempt = find_attempt(slot, progress.attempt);
    if (attempt == nullptr)
        return;
    state_.fleet[attempt->endpoint].last_active_at = state_.now;
    if (!attempt->open)
        return;
    attempt->last_progress_at = state_.now;
    ActiveRequest& request = state_.requests[slot];
    switch (progress.kind) {
        case ProgressKind::spilling:
            learn_spill(request, *attempt, progress.value);
            break;
        case ProgressKind::waiting:
            // An attempt blocked by a load makes no progress, so cancelling it loses no work. If two retries
            // were also blocked, most endpoints probably run a load, and the attempt stays.
            if (progress.value == kWaitReasonTableLock && progress.attempt < kMaxTableLockRetries &&
                policy::may_cancel_and_retry(state_.settings, request))
                cancel(request, progress.attempt);
            break;
        case ProgressKind::fraction_done:
            observe_fraction(request, *attempt, progress);
            break;
    }
}

void GatewayPolicy::Impl::learn_spill(const ActiveRequest& request, Attempt& attempt, double missing_mb) {
    if (std::exchange(attempt.spilled, true))
        return;
    const EndpointStatus& endpoint = state_.fleet[attempt.endpoint];
    const double even_share_mb =
        endpoint.memory_mb * attempt.threads / (policy::kThreadsPerCoreLimit * endpoint.cores);
    state_.statistics.learn_spill(request, attempt, missing_mb, even_share_mb);
}

// Records progress, and cancels an attempt that is far slower than a new one would be, because of a bad plan
// or a slow endpoint. Without an estimate of the work, the projected run time becomes the expectation for the
// request, so that a retry that takes equally long is allowed to finish.
void GatewayPolicy::Impl::observe_fraction(ActiveRequest& request, Attempt& attempt,
                                           const AttemptProgress& progress) {
    attempt.fraction_done = std::clamp(progress.value, 0.0, 1.0);
    const double projected_run_time = static_cast<double>(state_.now - attempt.dispatched_at) /
                                      std::max(attempt.fraction_done, kMinFractionDone);
    state_.fleet.observe_progress(attempt.endpoint, attempt.slowdown(projected_run_time));
    const double typical_run_time = std::max(
        state_.statistics.run_time(request) * state_.fleet.mean_slowdown(), request.projected_run_time);
    if (!policy::may_cancel_and_retry(state_.settings, request) ||
        !policy::is_runaway(projected_run_time * (1 - attempt.fraction_done), typical_run_time))
        return;
    if (request.estimated_work <= 0 && request.projected_run_time <= 0)
        request.projected_run_time = projected_run_time;
    cancel(request, progress.attempt);
}

// ---- Timer

void GatewayPolicy::Impl::on(const TimerFired&) {
    state_.actions.emplace_back(StartTimer{policy::kTickPeriod, 0});
    advance_key_order();
    lifecycle_.expire();
    policy::monitor_attempts(state_);
    lifecycle_.defer_overload();
    if (state_.now - last_refit_at_ >= kRefitPeriod) {
        last_refit_at_ = state_.now;
        state_.statistics.refit(state_.now);
    }
    if (state_.now - last_adjusted_at_ >= kAdjustPeriod) {
        last_adjusted_at_ = state_.now;
        adjust_shares();
    }
    resubscribe();
    check_health();
}

void GatewayPolicy::Impl::advance_key_order() {
    state_.key_order.advance(state_.requests, state_.now, [this](int slot) {
        lifecycle_.advance(slot);
    });
}

void GatewayPolicy::Impl::adjust_shares() {
    const auto streams = state_.statistics.summarize_sensitive_streams();
    if (streams)
        state_.sensitive_share.adjust(*streams);
    if (state_.settings.load_report_source == LoadReportSource::none)
        state_.statistics.relax_uncontended_run_times();
    state_.limit.adjust(state_.settings);
}

void GatewayPolicy::Impl::resubscribe() {
    const auto retry_after =
        static_cast<Micros>(kWatchRetryShare * static_cast<double>(state_.settings.watch_deadline));
    if (!state_.settings.watches_endpoints || subscribed_ || state_.now - last_watch_at_ < retry_after)
        return;
    last_watch_at_ = state_.now;
    state_.actions.emplace_back(WatchEndpoints{});
}

void GatewayPolicy::Impl::check_health() {
    if (!state_.settings.can_health_check ||
        state_.settings.load_report_source != LoadReportSource::health_checks)
        return;
    const EndpointStatus* const endpoint = state_.health_checks.next(state_.fleet, state_.now);
    if (endpoint != nullptr)
        state_.actions.emplace_back(CheckHealth{endpoint->description.id});
}

// ---- Public interface

GatewayPolicy::GatewayPolicy(Micros now, std::uint64_t seed, PolicySettings settings)
    : impl_(std::make_unique<Impl>(now, seed, std::move(settings))) {}
GatewayPolicy::~GatewayPolicy() = default;
GatewayPolicy::GatewayPolicy(GatewayPolicy&&) noexcept = default;
GatewayPolicy& GatewayPolicy::operator=(GatewayPolicy&&) noexcept = default;

std::vector<Action> GatewayPolicy::start() {
    return impl_->start();
}

std::vector<Action> GatewayPolicy::handle(Micros now, const Event& event) {
    return impl_->handle(now, event);
}

double GatewayPolicy::sensitive_share() const {
    return impl_->sensitive_share();
}

}  // namespace gatetiller
