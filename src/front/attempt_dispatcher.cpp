#include "front/attempt_dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "front/units.hpp"

namespace gatetiller::front {
namespace {

std::string session_duration(Micros duration) {
    return std::to_string(std::max<Micros>(1, duration / kMillisecond)) + "ms";
}

}  // namespace

AttemptDispatcher::AttemptDispatcher(FrontServices& services, AttemptListener& listener)
    : services_(services), listener_(listener) {}

void AttemptDispatcher::dispatch(const DispatchAttempt& action) {
    ActiveStatement* statement = services_.statements.find(action.id);
    if (!statement)
        return;
    statement->attempts.push_back(std::make_unique<StatementAttempt>(
        services_.loop, listener_, *statement, action.engine, services_.settings.module.progress_period));
    StatementAttempt& attempt = *statement->attempts.back();
    const auto violation = find_violation(attempt, GuardMoment::before_dispatch);
    if (violation) {
        services_.metrics.count_violation(*violation);
        services_.log(std::string("VIOLATION prevented: ") + decide::name_of(*violation) + ": " +
                      statement->id + " attempt " + std::to_string(attempt.number));
        return complete(attempt, AttemptOutcome::not_sent, statement->lifecycle.finished());
    }
    attempt.in_lifecycle = statement->lifecycle.apply(decide::RequestEvent::attempt_started);
    if (statement->first_sent_at == 0)
        statement->first_sent_at = attempt.sent_at;
    Engine* engine = services_.engines.find(action.engine);
    if (!engine)
        return complete(attempt, AttemptOutcome::connection_refused, false);
    const Micros time_left = statement->deadline - attempt.sent_at;
    send(attempt, *engine, action.timeout > 0 ? std::min(action.timeout, time_left) : time_left);
}

void AttemptDispatcher::send(StatementAttempt& attempt, Engine& engine, Micros time_limit) {
    attempt.engine_name = engine.settings.name;
    attempt.engine_kind = engine.settings.kind;
    attempt.statement.last_engine = engine.settings.name;
    http::Headers headers = headers_for(attempt, time_limit);
    services_.ledger.record_attempt(attempt, decide::AttemptState::in_flight);
    attempt.timeout_timer = services_.loop.after(time_limit, [this, &attempt] {
        attempt.timeout_timer = 0;
        on_timeout(attempt);
    });
    attempt.call = std::make_unique<statement::EngineCall>(services_.loop, *engine.client,
                                                           services_.settings.calls, attempt);
    attempt.call->start(std::move(headers), attempt.statement.submission.sql, [this, &attempt] {
        return may_send_first_byte(attempt);
    });
}

// The time limit in the session properties makes the engine end the statement at its deadline even if this
// front is no longer running.
http::Headers AttemptDispatcher::headers_for(const StatementAttempt& attempt, Micros time_limit) const {
    const ActiveStatement& statement = attempt.statement;
    std::map<std::string, std::string> session{{"query_max_run_time", session_duration(time_limit)}};
    if (statement.memory_grant_mb > 0)
        session["query_max_memory"] = std::to_string(std::llround(statement.memory_grant_mb)) + "MB";
    if (services_.settings.module.supports_priorities)
        session["query_priority"] = std::to_string(statement.priority);
    auto headers = statement::engine_headers(statement.submission.context, session,
                                             services_.ledger.attempt_tag(attempt));
    headers.add("User-Agent", "gatetiller/" + services_.settings.name);
    return headers;
}

void AttemptDispatcher::on_timeout(StatementAttempt& attempt) {
    if (attempt.completed || attempt.statement.is_streaming())
        return;
    attempt.call->cancel();
    attempt.statement.last_error = "no answer in time";
    complete(attempt, AttemptOutcome::timed_out, attempt.statement.lifecycle.finished());
}

void AttemptDispatcher::cancel(const CancelAttempt& action) {
    ActiveStatement* statement = services_.statements.find(action.id);
    if (!statement || action.attempt < 0 || action.attempt >= static_cast<int>(statement->attempts.size()))
        return;
    StatementAttempt& attempt = *statement->attempts[static_cast<std::size_t>(action.attempt)];
    if (attempt.completed || statement->is_streaming())
        return;
    attempt.call->cancel();
    complete(attempt, AttemptOutcome::cancelled, statement->lifecycle.finished());
}

void AttemptDispatcher::cancel_in_flight(ActiveStatement& statement) {
    StatementAttempt* attempt = statement.attempt_in_flight();
    if (!attempt)
        return;
    attempt->call->cancel();
    complete(*attempt, AttemptOutcome::cancelled, true);
}

void AttemptDispatcher::withdraw_unsent_to_draining() {
    std::vector<StatementAttempt*> candidates = services_.statements.sent_attempts_in_flight();
    std::erase_if(candidates, [&](const StatementAttempt* attempt) {
        return !services_.draining_endpoints.contains(attempt->engine);
    });
    for (StatementAttempt* attempt : candidates)
        if (!attempt->completed && attempt->call->recall())
            complete(*attempt, AttemptOutcome::not_sent, attempt->statement.lifecycle.finished());
}

void AttemptDispatcher::complete(StatementAttempt& attempt, AttemptOutcome outcome,
                                 bool final_response_ready) {
    if (std::exchange(attempt.completed, true))
        return;
    services_.loop.cancel(std::exchange(attempt.timeout_timer, 0));
    ActiveStatement& statement = attempt.statement;
    // An attempt that the guard refused has no rows: those that wait are of the one in flight.
    if (attempt.in_lifecycle && !final_response_ready)
        drop_waiting_rows(statement);
    if (attempt.in_lifecycle)
        statement.lifecycle.apply(decide::RequestEvent::attempt_ended);
    statement.last_attempt_outcome = outcome;
    services_.metrics.count_attempt(outcome);
    attempt.end_record.outcome = outcome;
    services_.ledger.record_attempt(attempt, decide::state_of(attempt.end_record));
    services_.intake.record_use(statement.team, attempt.stats.cpu_ms * kMillisecond);
    AttemptCompleted completed{statement.id,
                               attempt.number,
                               attempt.engine,
                               outcome,
                               services_.loop.now() - attempt.sent_at,
                               final_response_ready,
                               0,
                               0,
                               attempt.load_report};
    if (outcome == AttemptOutcome::succeeded && services_.settings.module.cost_in_responses) {
        completed.work_ms = static_cast<double>(attempt.stats.cpu_ms);
        completed.needed_mb = static_cast<double>(attempt.stats.peak_memory_bytes) / kBytesPerMebibyte;
    }
    services_.post_event(std::move(completed));
    if (statement.lifecycle.releasable())
        services_.statements.release_later(statement.id);
}

// The rows of an attempt that ends without being the response must not reach the client: another attempt
// sends its own.
void AttemptDispatcher::drop_waiting_rows(const ActiveStatement& statement) {
    services_.metrics.count_dropped_row_bytes(services_.statement_api.waiting_bytes(statement.id));
    services_.statement_api.drop_waiting(statement.id);
}

// ---- Attempt guard

bool AttemptDispatcher::may_send_first_byte(const StatementAttempt& attempt) {
    if (attempt.completed || services_.draining_endpoints.contains(attempt.engine))
        return false;
    return !find_violation(attempt, GuardMoment::before_first_byte);
}

std::optional<decide::Invariant> AttemptDispatcher::find_violation(const StatementAttempt& attempt,
                                                                   GuardMoment moment) {
    const PolicySettings& settings = services_.settings.module;
    const auto class_settings =
        std::find_if(settings.classes.begin(), settings.classes.end(), [&](const ClassSettings& candidate) {
            return candidate.name == attempt.statement.route.cls;
        });
    return decide::AttemptGuard(settings).find_violation(context_of(attempt, moment), *class_settings,
                                                         std::nullopt);
}

decide::AttemptContext AttemptDispatcher::context_of(const StatementAttempt& attempt, GuardMoment moment) {
    const ActiveStatement& statement = attempt.statement;
    decide::AttemptContext context;
    context.client_disconnected =
        statement.outcome == StatementOutcome::cancelled || statement.outcome == StatementOutcome::abandoned;
    context.final_response_sent = statement.lifecycle.finished() && !context.client_disconnected;
    // Before the first byte, the attempt in flight is this attempt itself.
    context.attempt_in_flight =
        statement.lifecycle.attempt_in_flight() && moment == GuardMoment::before_dispatch;
    context.time_left = statement.deadline - services_.loop.now();
    context.earlier_attempts = attempt.number;
    context.earlier_execution = earlier_execution_before(attempt);
    context.target = snapshot_of(attempt.engine);
    return context;
}

// Returns the first completed attempt that may have been executed.
std::optional<decide::EarlierExecution> AttemptDispatcher::earlier_execution_before(
    const StatementAttempt& attempt) {
    for (const auto& earlier : attempt.statement.attempts) {
        if (!earlier->completed || proves_not_executed(earlier->end_record.outcome))
            continue;
        decide::EarlierExecution execution;
        execution.sent_ago = attempt.sent_at - earlier->sent_at;
        const Engine* engine = services_.engines.find(earlier->engine);
        if (engine) {
            execution.zone = engine->state_tracker.endpoint().zone;
            execution.cell = engine->state_tracker.endpoint().cell;
        }
        return execution;
    }
    return std::nullopt;
}

decide::EndpointSnapshot AttemptDispatcher::snapshot_of(EngineId id) {
    decide::EndpointSnapshot snapshot;
    const Engine* engine = services_.engines.find(id);
    if (!engine)
        return snapshot;
    const Endpoint& endpoint = engine->state_tracker.endpoint();
    snapshot.listed = true;
    snapshot.kind = endpoint.kind;
    snapshot.zone = endpoint.zone;
    snapshot.cell = endpoint.cell;
    snapshot.draining_for = services_.draining_endpoints.draining_for(id, services_.loop.now()).value_or(0);
    return snapshot;
}

}  // namespace gatetiller::front
