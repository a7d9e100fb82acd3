#include "node/attempt_dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decide/attempt_end.hpp"

namespace gatetiller::node {
namespace {

constexpr Micros kRetryTransit = 20 * kMillisecond;  // allowance for a retry to reach its engine

}  // namespace

Micros retry_send_window(const ClassSettings& settings) {
    return std::max<Micros>(0, settings.key_window - kRetryTransit);
}

AttemptDispatcher::AttemptDispatcher(net::Loop& loop, const NodeSettings& settings,
                                     EndpointRegistry& endpoints, core::PolicyDriver& policy,
                                     const NodeDeps& deps, Events events)
    : loop_(loop),
      settings_(settings),
      endpoints_(endpoints),
      policy_(policy),
      deps_(deps),
      events_(std::move(events)),
      guard_(settings.policy, deps.faults->enforces_attempt_guard()) {}

// ---- Sending

void AttemptDispatcher::dispatch(ActiveRequest& request, EngineId engine_id, Micros timeout) {
    Attempt& attempt = add_attempt(request, engine_id, timeout);
    const auto context = context_of(attempt);
    const auto slow_start_share_requests = endpoints_.slow_start_share_requests(attempt.engine);
    const auto permit = guard_.permit(context, *request.class_settings, slow_start_share_requests);
    RegisteredEngine* const engine = endpoints_.find(attempt.engine);
    if (engine)
        ++engine->in_flight;
    if (!permit) {
        events_.on_violation(
            *guard_.find_violation(context, *request.class_settings, slow_start_share_requests),
            name_of(attempt));
        return complete(attempt, AttemptOutcome::not_sent);
    }
    attempt.in_flight = request.lifecycle.apply(decide::RequestEvent::attempt_started);
    if (!engine || !engine->connections)
        return complete(attempt, AttemptOutcome::connection_refused);
    start_timers(attempt);
    if (context.target.in_slow_start)
        endpoints_.record_slow_start_send(attempt.engine, attempt.dispatched_at,
                                          deps_.faults->slow_start_weight_of_attempt());
    send(attempt, *engine, *permit);
    if (!attempt.ended && attempt.number == 0 && deps_.faults->duplicates_first_attempt())
        dispatch(request, engine_id, timeout);
}

Attempt& AttemptDispatcher::add_attempt(ActiveRequest& request, EngineId engine, Micros timeout) {
    const int number = static_cast<int>(request.attempts.size());
    AttemptHandler& handler = *this;
    request.attempts.push_back(std::make_unique<Attempt>(handler, loop_, request, number,
                                                         deps_.faults->engine_for_attempt(engine, number)));
    Attempt& attempt = *request.attempts.back();
    attempt.expires_at = request.deadline;
    if (timeout > 0)
        attempt.expires_at = std::min(attempt.expires_at, attempt.dispatched_at + timeout);
    return attempt;
}

void AttemptDispatcher::start_timers(Attempt& attempt) {
    const ActiveRequest& request = attempt.request;
    attempt.timeout_timer = loop_.after(attempt.expires_at - attempt.dispatched_at, [this, &attempt] {
        attempt.timeout_timer = 0;
        complete(attempt, AttemptOutcome::timed_out);
    });
    // A retry must arrive, not merely be dispatched, while the engines still recognize its key.
    if (request.class_settings->idempotency != Idempotency::keyed || !request.first_possible_execution)
        return;
    const Micros window_ends =
        request.first_possible_execution->dispatched_at + retry_send_window(*request.class_settings);
    attempt.retry_window_timer = loop_.after(window_ends - attempt.dispatched_at, [this, &attempt] {
        attempt.retry_window_timer = 0;
        reset_partial(attempt);
    });
}

void AttemptDispatcher::send(Attempt& attempt, RegisteredEngine& engine,
                             const decide::AttemptPermit& permit) {
    if (deps_.trace)
        deps_.trace(name_of(attempt) + " sent limit_ms=" +
                    std::to_string((attempt.expires_at - attempt.dispatched_at) / kMillisecond) + " " +
                    endpoints_.list_text());
    attempt.exchange = engine.connections->send_request(permit, attempt.request.id, attempt);
    if (!attempt.exchange)
        complete(attempt, AttemptOutcome::not_sent);
}

// Returns the request as it is to be written now; the field `ms` is the time left at this moment.
std::optional<Exchange::Request> AttemptDispatcher::current_request(const Attempt& attempt) {
    const ActiveRequest& request = attempt.request;
    const Micros now = deps_.faults->sends_stale_time_left() ? attempt.dispatched_at : loop_.now();
    const Micros time_left = attempt.expires_at - now;
    const bool is_needed = !request.lifecycle.finished() || deps_.faults->sends_after_client_disconnected();
    if (attempt.ended || time_left <= 0 || !is_needed)
        return std::nullopt;
    std::string fields = "kind=" + request.class_settings->name +
                         ",ms=" + std::to_string(std::max<Micros>(1, time_left / kMillisecond));
    if (!request.idempotency_key.empty())
        fields += ",token=" + request.idempotency_key;
    if (settings_.policy.supports_memory_grants && request.granted_memory_mb > 0)
        fields +=
            ",reserve=" + std::to_string(static_cast<std::int64_t>(std::ceil(request.granted_memory_mb)));
    if (settings_.policy.supports_priorities)
        fields += ",level=" + std::to_string(request.priority);
    return Exchange::Request{std::move(fields), request.body};
}

// Checks the conditions at this moment, as they may have changed since the dispatch: the connection may have
// been established late, or this process may have stalled.
bool AttemptDispatcher::may_begin(const Attempt& attempt, std::uint64_t connection) {
    auto context = context_of(attempt);
    context.attempt_in_flight = false;  // the one in flight is this attempt
    const auto violation = guard_.find_violation(context, *attempt.request.class_settings, std::nullopt);
    const bool engine_ready =
        endpoints_.state(attempt.engine) == EndpointState::ready || deps_.faults->begins_at_draining_engine();
    const bool permitted = !violation || deps_.faults->begins_despite_violation();
    const bool may_begin = !attempt.ended && engine_ready && permitted;
    if (deps_.trace)
        deps_.trace(name_of(attempt) + (may_begin ? " begins" : " is no longer permitted to begin") +
                    " on connection " + std::to_string(connection) +
                    (violation ? std::string(": ") + decide::name_of(*violation) : "") +
                    " waited_ms=" + std::to_string((loop_.now() - attempt.dispatched_at) / kMillisecond) +
                    " draining_ms=" + std::to_string(context.target.draining_for / kMillisecond) + " " +
                    endpoints_.list_text());
    return may_begin;
}

decide::AttemptContext AttemptDispatcher::context_of(const Attempt& attempt) const {
    const ActiveRequest& request = attempt.request;
    decide::AttemptContext context;
    context.client_disconnected = request.client_disconnected;
    context.final_response_sent = request.lifecycle.finished() && !request.client_disconnected;
    context.attempt_in_flight = request.lifecycle.attempt_in_flight();
    context.time_left = attempt.expires_at - loop_.now();
    context.earlier_attempts = attempt.number;
    if (const auto& execution = request.first_possible_execution) {
        decide::EarlierExecution earlier;
        earlier.sent_ago = loop_.now() - execution->dispatched_at;
        earlier.zone = execution->zone;
        earlier.cell = execution->cell;
        context.earlier_execution = earlier;
    }
    context.target = endpoints_.snapshot(attempt.engine);
    return context;
}

// ---- While in flight

void AttemptDispatcher::on_progress(Attempt& attempt, ProgressKind kind, double value) {
    if (attempt.ended)
        return;
    ++attempt.progress_updates;
    attempt.last_progress_at = loop_.now();
    policy_.post(AttemptProgress{attempt.request.id, attempt.number, attempt.engine, kind, value});
}

void AttemptDispatcher::grant(ActiveRequest& request, const ResourceGrant& grant) {
    request.granted_memory_mb = grant.memory_mb;
    const bool changed = std::exchange(request.priority, grant.priority) != grant.priority;
    Attempt* const attempt = request.attempt_in_flight();
    if (changed && attempt && attempt->exchange)
        attempt->exchange->set_priority(grant.priority);
}

// ---- Completion

void AttemptDispatcher::cancel(ActiveRequest& request, int number) {
    if (number >= 0 && number < static_cast<int>(request.attempts.size()))
        complete(*request.attempts[static_cast<std::size_t>(number)], AttemptOutcome::cancelled);
}

void AttemptDispatcher::withdraw_unsent(Attempt& attempt) {
    if (!attempt.ended && attempt.exchange && attempt.exchange->withdraw_unsent())
        complete(attempt, AttemptOutcome::not_sent);
}

// Ends an attempt whose request has not been sent completely, and so was never executed. If a part has been
// sent, its connection is reset.
void AttemptDispatcher::reset_partial(Attempt& attempt) {
    if (!attempt.ended && attempt.exchange && attempt.exchange->reset_partial())
        complete(attempt, AttemptOutcome::not_sent);
}

// Does not depend on PolicySettings::can_cancel: no attempt may begin for a disconnected client.
void AttemptDispatcher::on_client_disconnected(ActiveRequest& request) {
    Attempt* const attempt = request.attempt_in_flight();
    if (!attempt)
        return;
    reset_partial(*attempt);
    if (!attempt->ended && attempt->exchange && attempt->exchange->discard_unacknowledged())
        complete(*attempt, AttemptOutcome::connection_reset);
}

void AttemptDispatcher::repeat_first_attempt(ActiveRequest& request) {
    if (!request.attempts.empty())
        dispatch(request, request.attempts.front()->engine, kSecondMicros);
}

void AttemptDispatcher::on_end(Attempt& attempt, decide::ExchangeResult result) {
    if (attempt.ended)
        return;
    if (result.status == decide::ExchangeResult::Status::completed && !attempt.request.lifecycle.finished())
        events_.on_result(attempt.request, result);
    complete(attempt, decide::outcome_of(result.status), &result);
}

void AttemptDispatcher::complete(Attempt& attempt, AttemptOutcome outcome,
                                 const decide::ExchangeResult* result) {
    if (std::exchange(attempt.ended, true))
        return;
    attempt.cancel_timers();
    const std::string progress = deps_.trace && attempt.exchange ? attempt.exchange->describe() : "";
    if (attempt.exchange && attempt.exchange->withdraw_unsent())
        outcome = AttemptOutcome::not_sent;
    attempt.exchange.reset();  // cancels the request at the engine unless the exchange has ended
    if (!proves_not_executed(outcome))
        record_possible_execution(attempt);
    ++completed_[outcome];
    ActiveRequest& request = attempt.request;
    if (attempt.in_flight)
        request.lifecycle.apply(decide::RequestEvent::attempt_ended);
    if (RegisteredEngine* const engine = endpoints_.find(attempt.engine))
        --engine->in_flight;
    auto completion = completion_of(attempt, outcome, result);
    if (deps_.trace && outcome != AttemptOutcome::succeeded)
        trace_completion(attempt, completion, result, progress);
    policy_.post(std::move(completion));
    if (request.lifecycle.releasable())
        events_.on_releasable(request);
}

AttemptCompleted AttemptDispatcher::completion_of(const Attempt& attempt, AttemptOutcome outcome,
                                                  const decide::ExchangeResult* result) const {
    AttemptCompleted completion;
    completion.id = attempt.request.id;
    completion.attempt = attempt.number;
    completion.engine = attempt.engine;
    completion.outcome = outcome;
    completion.duration = loop_.now() - attempt.dispatched_at;
    completion.request_finished = attempt.request.lifecycle.finished();
    if (!result)
        return completion;
    completion.load_report = result->load_report;
    if (outcome == AttemptOutcome::succeeded && settings_.policy.cost_in_responses) {
        completion.work_ms = result->work_ms;
        completion.needed_mb = result->needed_mb;
    }
    return completion;
}

void AttemptDispatcher::trace_completion(const Attempt& attempt, const AttemptCompleted& completion,
                                         const decide::ExchangeResult* result,
                                         const std::string& progress) const {
    std::string text = name_of(attempt) + " " + decide::name_of(completion.outcome) +
                       " ms=" + std::to_string(completion.duration / kMillisecond) +
                       " progress_updates=" + std::to_string(attempt.progress_updates);
    if (attempt.progress_updates > 0)
        text += " last_progress_ms=" +
                std::to_string((attempt.last_progress_at - attempt.dispatched_at) / kMillisecond);
    if (result)
        text += " " + result->detail;
    if (!progress.empty())
        text += " " + progress;
    deps_.trace(text);
}

void AttemptDispatcher::record_possible_execution(const Attempt& attempt) {
    auto& first = attempt.request.first_possible_execution;
    if (first)
        return;
    first.emplace();
    first->dispatched_at = attempt.dispatched_at;
    if (const RegisteredEngine* const engine = endpoints_.find(attempt.engine)) {
        first->zone = engine->zone;
        first->cell = engine->cell;
    }
}

std::string AttemptDispatcher::name_of(const Attempt& attempt) const {
    return attempt.request.name() + " attempt " + std::to_string(attempt.number) + " at " +
           endpoints_.name_of(attempt.engine);
}

std::string AttemptDispatcher::counters_text() const {
    std::string text;
    for (const auto& [outcome, count] : completed_)
        text +=
            (text.empty() ? "" : ",") + std::string(decide::name_of(outcome)) + ":" + std::to_string(count);
    return text;
}

}  // namespace gatetiller::node
