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
constexpr double kWatchRetryShare = 0.25;          // of the watch deadline, after which a call is repeated
constexpr Micros kStallTime = 200 * kMillisecond;  // without any event: this gateway stood still
constexpr double kWaitsForLoad = 2;                // value of a note of waiting
constexpr int kMovesFromLoad = 2;                  // of one request, away from endpoints with a load
constexpr double kLeastFractionDone = 0.01;

// Whether the endpoint may go on with the attempt though the gateway no longer waits for it.
bool may_still_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::timed_out || outcome == AttemptOutcome::cancelled;
}

}  // namespace

class GatewayPolicy::Impl {
public:
    Impl(Micros now, std::uint64_t seed, PolicySettings settings)
        : state_(now, seed, std::move(settings)), lifecycle_(state_), refit_at_(now), adjusted_at_(now) {}

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
    void watch_again();
    void check_health();

    policy::PolicyState state_;
    policy::RequestLifecycle lifecycle_;
    bool subscribed_ = false;  // to the endpoint list
    Micros watch_asked_at_ = 0;
    Micros refit_at_;
    Micros adjusted_at_;
};

std::vector<Action> GatewayPolicy::Impl::start() {
    if (state_.settings.watches_endpoints) {
        state_.actions.emplace_back(WatchEndpoints{});
        watch_asked_at_ = state_.now;
    }
    state_.actions.emplace_back(StartTimer{policy::kTickPeriod, 0});
    return std::exchange(state_.actions, {});
}

std::vector<Action> GatewayPolicy::Impl::handle(Micros at, const Event& event) {
    if (at > state_.now + kStallTime)
        state_.resumed_at = at;
    state_.now = std::max(state_.now, at);
    state_.retry_budget.expire(state_.now - state_.settings.retry_budget_window);
    std::visit(
        [this](const auto& one) {
            on(one);
        },
        event);
    lifecycle_.dispatch_queued();
    return std::exchange(state_.actions, {});
}

// ---- Endpoints

void GatewayPolicy::Impl::on(const EndpointUpdate& update) {
    if (update.kind != EndpointUpdateKind::cached)
        subscribed_ = update.kind != EndpointUpdateKind::source_lost;
    state_.fleet.update(update, state_.now, state_.random);
}

void GatewayPolicy::Impl::on(const HealthCheckCompleted& check) {
    const int endpoint = state_.fleet.find(check.engine);
    if (endpoint != policy::Fleet::kNotFound && check.outcome == AttemptOutcome::succeeded)
        state_.fleet.observe_report(endpoint, check.load_report, state_.statistics.usual(), state_.now);
}

// ---- Arrivals

int GatewayPolicy::Impl::class_index(const std::string& name) const {
    const auto& classes = state_.settings.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const ClassSettings& one) {
        return one.name == name;
    });
    return found == classes.end() ? -1 : static_cast<int>(found - classes.begin());
}

// An unknown tenant counts as the first one.
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
    state_.statistics.count_usual(request);
    state_.sensitive_share.count_arrival(state_.statistics.of(request).sensitive);
    if (state_.class_of(request).ordered_by_key && !arrival.ordering_key.empty()) {
        request.ordering_key = arrival.ordering_key;
        state_.key_order.add(state_.requests, slot);
    }
    lifecycle_.proceed(slot);
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
        request.over_quota = !state_.quotas[request.tenant_index].take(now);
}

// ---- The client's side

void GatewayPolicy::Impl::on(const ResponseStarted& started) {
    const int slot = state_.requests.find(started.id);
    if (slot != policy::RequestTable::kNotFound)
        state_.requests[slot].streaming = true;
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
        endpoint.last_alive = state_.now;
    if (completed.load_report)
        state_.fleet.observe_report(attempt.endpoint, completed.load_report, state_.statistics.usual(),
                                    state_.now);
    update_health(request, attempt, outcome);
    const bool succeeded = outcome == AttemptOutcome::succeeded;
    const bool ended_while_alive = may_still_run(outcome) && endpoint.last_alive >= attempt.dispatched_at;
    if (!state_.settings.cost_in_responses && (succeeded || ended_while_alive))
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
        request.not_before = state_.now + policy::kTickPeriod;
    lifecycle_.proceed(slot);
    state_.requests.release_if_over(slot);
}

void GatewayPolicy::Impl::update_health(ActiveRequest& request, Attempt& attempt, AttemptOutcome outcome) {
    EndpointStatus& endpoint = state_.fleet[attempt.endpoint];
    endpoint.health.observe_connection(outcome);
    switch (policy::judge_health({outcome, attempt.dispatched_at, endpoint.last_alive})) {
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

// A failure that another endpoint gave this request too is the request's own: what the earlier ones added to
// their endpoints' error rates is taken back. So a request that no endpoint can execute ejects none.
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

// An endpoint that reports room has a reason of its own to reject this class, and pauses for this class
// alone.
void GatewayPolicy::Impl::pause_after_rejection(EndpointStatus& endpoint, int class_index) const {
    if (state_.fleet.reports_room(endpoint, state_.statistics.usual(), state_.now))
        endpoint.health.pause_class(class_index, state_.now);
    else
        endpoint.health.pause_all(state_.now);
}

void GatewayPolicy::Impl::learn_from_success(const ActiveRequest& request, const Attempt& attempt,
                                             const AttemptCompleted& completed) {
    state_.statistics.learn_cost(request, attempt, completed);
    const std::optional<double> contention = state_.statistics.learn_run(request, attempt, completed);
    if (contention)
        state_.limit.observe_contention(*contention);
    state_.statistics.add_answer(request, completed.duration, state_.now);
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
    state_.fleet[attempt->endpoint].last_alive = state_.now;
    if (!attempt->open)
        return;
    attempt->last_progress_at = state_.now;
    ActiveRequest& request = state_.requests[slot];
    switch (progress.kind) {
        case ProgressKind::spilling:
            learn_spill(request, *attempt, progress.value);
            break;
        case ProgressKind::waiting:
            // Behind a load it stands still, so nothing is lost by moving it. After two moves most endpoints
            // hold a load.
            if (progress.value == kWaitsForLoad && progress.attempt < kMovesFromLoad &&
                policy::may_move(state_.settings, request))
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

// An attempt that gets on far slower than a new one would, by a bad plan or a slow endpoint, is cancelled for
// another one. Where nothing estimated its work, the time that it shows becomes the request's expectation, so
// that an attempt that would take as long again may finish.
void GatewayPolicy::Impl::observe_fraction(ActiveRequest& request, Attempt& attempt,
                                           const AttemptProgress& progress) {
    attempt.fraction_done = std::clamp(progress.value, 0.0, 1.0);
    const double projected_run = static_cast<double>(state_.now - attempt.dispatched_at) /
                                 std::max(attempt.fraction_done, kLeastFractionDone);
    state_.fleet.observe_progress(attempt.endpoint, attempt.slowdown(projected_run));
    const double usual_run =
        std::max(state_.statistics.run_time(request) * state_.fleet.usual_slowdown(), request.projected_run);
    if (!policy::may_move(state_.settings, request) ||
        !policy::is_runaway(projected_run * (1 - attempt.fraction_done), usual_run))
        return;
    if (request.estimated_work <= 0 && request.projected_run <= 0)
        request.projected_run = projected_run;
    cancel(request, progress.attempt);
}

// ---- The timer

void GatewayPolicy::Impl::on(const TimerFired&) {
    state_.actions.emplace_back(StartTimer{policy::kTickPeriod, 0});
    advance_key_order();
    lifecycle_.expire();
    policy::monitor_attempts(state_);
    lifecycle_.defer_overload();
    if (state_.now - refit_at_ >= kRefitPeriod) {
        refit_at_ = state_.now;
        state_.statistics.refit(state_.now);
    }
    if (state_.now - adjusted_at_ >= kAdjustPeriod) {
        adjusted_at_ = state_.now;
        adjust_shares();
    }
    watch_again();
    check_health();
}

void GatewayPolicy::Impl::advance_key_order() {
    state_.key_order.advance(state_.requests, state_.now, [this](int slot) {
        lifecycle_.proceed(slot);
    });
}

void GatewayPolicy::Impl::adjust_shares() {
    const auto streams = state_.statistics.sensitive_streams();
    if (streams)
        state_.sensitive_share.adjust(*streams);
    if (state_.settings.load_report_source == LoadReportSource::none)
        state_.statistics.relax_calm_runs();
    state_.limit.adjust(state_.settings);
}

void GatewayPolicy::Impl::watch_again() {
    const auto retry_after =
        static_cast<Micros>(kWatchRetryShare * static_cast<double>(state_.settings.watch_deadline));
    if (!state_.settings.watches_endpoints || subscribed_ || state_.now - watch_asked_at_ < retry_after)
        return;
    watch_asked_at_ = state_.now;
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

// ---- The public interface

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
