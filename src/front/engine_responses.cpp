#include "front/engine_responses.hpp"

#include <utility>

#include "front/client_documents.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::front {
namespace {

// Whether the query may have executed, for all that its document tells.
bool may_have_executed(const statement::Document& document) {
    const statement::Stats& stats = document.stats;
    return !stats.valid || stats.cpu_ms > 0 || document.has_rows() || stats.state == "RUNNING" ||
           stats.state == "FINISHING";
}

decide::AttemptEnd::Kind kind_of(statement::CallEnd::How how) {
    using Kind = decide::AttemptEnd::Kind;
    using How = statement::CallEnd::How;
    switch (how) {
        case How::not_sent:
            return Kind::not_sent;
        case How::connect_late:
            return Kind::connect_timeout;
        case How::lacked_here:
        case How::withdrawn:
            return Kind::local_resource_exhausted;
        case How::turned_away:
            return Kind::rejected;
        case How::late:
            return Kind::timed_out;
        case How::answered:
        case How::lost:
            break;
    }
    return Kind::connection_lost;
}

bool was_connected(decide::AttemptEnd::Kind kind) {
    using Kind = decide::AttemptEnd::Kind;
    return kind != Kind::not_sent && kind != Kind::connect_timeout && kind != Kind::local_resource_exhausted;
}

}  // namespace

EngineResponses::EngineResponses(FrontServices& services, AttemptDispatcher& dispatcher)
    : services_(services), dispatcher_(dispatcher) {}

void EngineResponses::on_attempt_document(StatementAttempt& attempt, statement::Document document,
                                          const http::Headers& headers) {
    if (attempt.completed)
        return;
    const auto load_report = statement::read_report(headers);
    if (load_report)
        attempt.load_report = load_report;
    attempt.stats = document.stats;
    attempt.statement.stats = document.stats;
    attempt.engine_query_id = document.id;
    attempt.row_bytes += static_cast<std::int64_t>(document.data.size());
    attempt.executed = attempt.executed || may_have_executed(document);
    if (!document.columns.empty())
        attempt.columns = document.columns;
    if (document.final())
        return on_final_document(attempt, std::move(document), headers);
    if (!report_progress(attempt, document.stats))
        return;
    if (document.has_rows()) {
        push(attempt, std::move(document), headers);
        if (attempt.completed)
            return;
    }
    fetch_next(attempt);
}

void EngineResponses::on_final_document(StatementAttempt& attempt, statement::Document document,
                                        const http::Headers& headers) {
    decide::AttemptEnd end;
    end.has_executed = attempt.executed;
    if (document.error) {
        end.has_error = true;
        end.error_type = document.error->type;
        end.error_name = document.error->name;
    }
    end_attempt(attempt, end, std::move(document), headers);
}

// Returns false if the policy reacted by cancelling the attempt.
bool EngineResponses::report_progress(StatementAttempt& attempt, const statement::Stats& stats) const {
    const decide::QueryStats query{stats.progress,      stats.queued,         stats.scheduled,
                                   stats.queued_splits, stats.running_splits, stats.spilled_bytes};
    for (const auto& report : attempt.progress.observe(services_.loop.now(), query)) {
        services_.post_event(
            AttemptProgress{attempt.statement.id, attempt.number, attempt.engine, report.kind, report.value});
        if (attempt.completed)
            break;
    }
    return !attempt.completed;
}

void EngineResponses::fetch_next(StatementAttempt& attempt) const {
    const auto& api = services_.statement_api;
    if (services_.intake.can_fetch_more(api.waiting_bytes(attempt.statement.id), api.total_waiting_bytes()))
        attempt.call->next();
}

void EngineResponses::on_attempt_call_ended(StatementAttempt& attempt, const statement::CallEnd& end) {
    if (attempt.completed)
        return;
    decide::AttemptEnd attempt_end;
    attempt_end.kind = kind_of(end.how);
    attempt_end.status = end.status;
    end_attempt(attempt, attempt_end, engine_lost_document(attempt, end.text), {});
}

void EngineResponses::end_attempt(StatementAttempt& attempt, const decide::AttemptEnd& end,
                                  statement::Document document, const http::Headers& headers) {
    ActiveStatement& statement = attempt.statement;
    const auto verdict = decide::classify_attempt_end(end);
    attempt.end_record.ended_by_document = end.kind == decide::AttemptEnd::Kind::answered;
    attempt.end_record.connected = was_connected(end.kind);
    if (document.error)
        statement.last_error = document.error->message;
    const bool finished = statement.lifecycle.finished();
    if (verdict.for_client && !finished)
        return serve(attempt, verdict.outcome, std::move(document), headers);
    if (statement.is_streaming())
        return truncate(attempt, verdict.outcome, std::move(document));
    dispatcher_.complete(attempt, verdict.outcome, finished);
}

// Sends the engine's document to the client as the final one.
void EngineResponses::serve(StatementAttempt& attempt, AttemptOutcome outcome, statement::Document document,
                            const http::Headers& headers) {
    ActiveStatement& statement = attempt.statement;
    statement.lifecycle.apply(decide::RequestEvent::response_ready);
    statement.outcome = StatementOutcome::served;
    statement.ended_at = services_.loop.now();
    attempt.end_record.for_client = true;
    dispatcher_.complete(attempt, outcome, true);
    push(attempt, std::move(document), headers);
}

// Ends a statement whose rows were partly sent. It cannot be retried, so the client is told that its result
// is incomplete.
void EngineResponses::truncate(StatementAttempt& attempt, AttemptOutcome outcome,
                               statement::Document document) {
    ActiveStatement& statement = attempt.statement;
    statement.lifecycle.apply(decide::RequestEvent::response_ready);
    statement.outcome = StatementOutcome::truncated;
    statement.ended_at = services_.loop.now();
    dispatcher_.complete(attempt, outcome, true);
    services_.statement_api.push(statement.id, truncated_document(std::move(document)));
}

void EngineResponses::push(const StatementAttempt& attempt, statement::Document document,
                           const http::Headers& headers) {
    if (document.columns.empty())
        document.columns = attempt.columns;
    http::Headers forwarded;
    statement::pass_response_headers(headers, forwarded);
    services_.statement_api.push(attempt.statement.id, std::move(document), std::move(forwarded));
}

}  // namespace gatetiller::front
