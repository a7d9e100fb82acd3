#include "front/ledger_recorder.hpp"

#include <cmath>
#include <utility>

#include "front/units.hpp"
#include "statement/json.hpp"

namespace gatetiller::front {

LedgerRecorder::LedgerRecorder(net::Loop& loop, store::LedgerWriter* writer, Events events)
    : loop_(loop), writer_(writer), events_(std::move(events)) {}

LedgerRecorder::~LedgerRecorder() {
    loop_.cancel(flush_timer_);
}

void LedgerRecorder::start() {
    if (writer_)
        flush();
}

void LedgerRecorder::flush() {
    for (const auto& text : writer_->poll(loop_.now(), loop_.wall()))
        events_.log(text);
    const auto previous = writer_->previous_incarnation();
    if (previous.known && !std::exchange(previous_incarnation_known_, true))
        events_.on_previous_incarnation(previous.last_commit_before_kill.has_value());
    for (const auto& sample : writer_->take_work_history())
        events_.on_past_work(sample);
    flush_timer_ = loop_.after(writer_->flush_interval(), [this] {
        flush();
    });
}

void LedgerRecorder::record_accepted(ActiveStatement& statement, const std::string& route_tenant,
                                     const ClassSettings& class_settings) {
    if (!writer_)
        return;
    const auto& context = statement.submission.context;
    const auto& route = statement.route;
    decide::RequestRow row;
    row.requester = std::make_shared<const decide::Requester>(
        decide::Requester{context.user, context.source,
                          decide::join_tags_without_key(context.tags, route.key), route.cls, route_tenant});
    row.id = statement.id;
    row.key = route.key;
    row.received_at = loop_.wall();
    if (class_settings.idempotency == Idempotency::keyed)
        row.key_window = class_settings.key_window;
    statement.in_ledger = writer_->add_request(row, row.received_at, statement.ledger_slot);
    statement.ledger_number = row.number;
    statement.ledger_row = std::move(row);
}

void LedgerRecorder::record_attempt(StatementAttempt& attempt, decide::AttemptState state) {
    const ActiveStatement& statement = attempt.statement;
    if (!statement.in_ledger)
        return;
    decide::AttemptRow row;
    row.request = statement.ledger_number;
    row.number = static_cast<std::uint32_t>(attempt.number);
    row.engine = attempt.engine_name;
    row.kind = attempt.engine_kind;
    row.engine_id = attempt.engine_query_id;
    row.state = state;
    row.sent_after = attempt.sent_at - statement.arrived_at;
    if (attempt.completed)
        row.ended_after = loop_.now() - statement.arrived_at;
    row.grant_bytes = std::llround(statement.memory_grant_mb * kBytesPerMebibyte);
    row.work = attempt.stats.cpu_ms * kMillisecond;
    row.peak_bytes = attempt.stats.peak_memory_bytes;
    row.spilled_bytes = attempt.stats.spilled_bytes;
    row.row_bytes = attempt.row_bytes;
    row.is_final = attempt.end_record.ended_by_document;
    writer_->update(std::move(row), loop_.wall(), attempt.ledger_slot);
}

void LedgerRecorder::record_finished(ActiveStatement& statement, Micros ended_at) {
    if (!statement.in_ledger || !statement.ledger_row)
        return;
    decide::RequestRow& row = *statement.ledger_row;
    row.state = request_state_of(statement.outcome);
    row.error = statement.outcome == StatementOutcome::served && !statement.last_error.empty();
    row.attempts = static_cast<std::uint32_t>(statement.attempts.size());
    row.ended_after = ended_at - statement.arrived_at;
    row.closed_after = loop_.now() - statement.arrived_at;
    writer_->update(std::move(row), loop_.wall(), statement.ledger_slot);
    statement.ledger_row.reset();
}

std::string LedgerRecorder::attempt_tag(const StatementAttempt& attempt) const {
    if (!writer_)
        return "";
    return decide::format_attempt_tag({writer_->incarnation(), attempt.statement.ledger_number,
                                       static_cast<std::uint32_t>(attempt.number)});
}

std::string LedgerRecorder::status_member() const {
    if (!writer_)
        return "";
    const auto status = writer_->status();
    const char* state = status.error == decide::StoreError::none ? "written" : name_of(status.error);
    return R"(,"ledger":{"state":)" + statement::json_string(state) + R"(,"waiting":)" +
           std::to_string(status.queued_rows) + R"(,"lost":)" + std::to_string(status.lost_rows) + "}";
}

}  // namespace gatetiller::front
