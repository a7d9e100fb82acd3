#include "front/statement_completion.hpp"

#include <utility>

#include "front/client_documents.hpp"

namespace gatetiller::front {
namespace {

FinishedStatement record_of(const ActiveStatement& statement, Micros ended_at, Micros now) {
    const bool was_sent = statement.first_sent_at > 0;
    FinishedStatement record;
    record.id = statement.id;
    record.trace_token = statement.submission.context.trace_token;
    record.user = statement.submission.context.user;
    record.class_name = statement.route.cls;
    record.tenant = statement.route.tenant;
    record.engine = statement.last_engine;
    record.error = statement.last_error;
    record.attempts = static_cast<int>(statement.attempts.size());
    record.outcome = statement.outcome;
    record.queued = (was_sent ? statement.first_sent_at : ended_at) - statement.arrived_at;
    record.running = was_sent ? ended_at - statement.first_sent_at : 0;
    record.fetching = now - ended_at;
    record.total = now - statement.arrived_at;
    record.cpu_ms = statement.stats.cpu_ms;
    record.peak_memory_bytes = statement.stats.peak_memory_bytes;
    record.spilled_bytes = statement.stats.spilled_bytes;
    return record;
}

}  // namespace

StatementCompletion::StatementCompletion(FrontServices& services, AttemptDispatcher& dispatcher,
                                         std::function<void(const FinishedStatement&)> on_finished)
    : services_(services), dispatcher_(dispatcher), on_finished_(std::move(on_finished)) {}

void StatementCompletion::shed(const ShedRequest& action) {
    ActiveStatement* statement = services_.statements.find(action.id);
    if (statement && !statement->lifecycle.finished())
        push_final(*statement, shed_document(*statement), StatementOutcome::shed, action.retry_after);
}

void StatementCompletion::fail(const FailRequest& action) {
    ActiveStatement* statement = services_.statements.find(action.id);
    if (statement && !statement->lifecycle.finished())
        push_final(*statement, failed_document(*statement, services_.loop.now()), StatementOutcome::failed,
                   0);
}

void StatementCompletion::push_final(ActiveStatement& statement, statement::Document document,
                                     StatementOutcome outcome, Micros retry_after) {
    // A statement that was not served has no rows, unless the client has its first ones already.
    if (!statement.is_streaming())
        dispatcher_.drop_waiting_rows(statement);
    statement.lifecycle.apply(decide::RequestEvent::response_ready);
    statement.outcome = outcome;
    statement.ended_at = services_.loop.now();
    http::Headers headers;
    if (retry_after > 0)
        headers.add("Retry-After", retry_after_value(retry_after));
    document.next_uri.clear();
    services_.statement_api.push(statement.id, std::move(document), std::move(headers));
}

void StatementCompletion::on_client_left(const std::string& id, statement::CancelReason reason) {
    ActiveStatement* statement = services_.statements.find(id);
    if (!statement || statement->lifecycle.phase() == decide::RequestPhase::closed)
        return;
    // Also replaces the outcome of a statement whose final document was ready: the record says which side
    // ended it.
    const bool did_not_ask =
        reason == statement::CancelReason::abandoned || reason == statement::CancelReason::evicted;
    statement->outcome = did_not_ask ? StatementOutcome::abandoned : StatementOutcome::cancelled;
    if (statement->ended_at == 0)
        statement->ended_at = services_.loop.now();
    statement->lifecycle.apply(decide::RequestEvent::client_disconnected);
    services_.post_event(ClientDisconnected{id});
    // The policy does not cancel an attempt whose rows are being streamed, so it is cancelled here.
    if (services_.settings.module.can_cancel)
        dispatcher_.cancel_in_flight(*statement);
    finish(*statement);
}

void StatementCompletion::on_final_delivered(const std::string& id) {
    ActiveStatement* statement = services_.statements.find(id);
    if (statement && statement->lifecycle.apply(decide::RequestEvent::response_delivered))
        finish(*statement);
}

// The statement is not released while an attempt is in flight.
void StatementCompletion::finish(ActiveStatement& statement) {
    services_.intake.release(statement.submission);
    const Micros now = services_.loop.now();
    const Micros ended_at = statement.ended_at > 0 ? statement.ended_at : now;
    const FinishedStatement record = record_of(statement, ended_at, now);
    services_.metrics.record_finished(record);
    if (on_finished_)
        on_finished_(record);
    services_.ledger.record_finished(statement, ended_at);
    if (statement.lifecycle.releasable())
        services_.statements.release_later(statement.id);
}

}  // namespace gatetiller::front
