// The statements that a front has accepted and not yet released, and their attempts.
//
// Invariants: a statement has at most one attempt in flight, the last one; an attempt is completed once; a
// statement is released, in a later turn of the loop, once its lifecycle allows it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/deferred_release.hpp"
#include "decide/attempt_end.hpp"
#include "decide/progress_reporter.hpp"
#include "decide/request_lifecycle.hpp"
#include "decide/routing.hpp"
#include "front/statement_outcome.hpp"
#include "statement/engine_call.hpp"
#include "statement/server.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::front {

struct ActiveStatement;
struct StatementAttempt;

// Receives what an attempt's engine answers.
class AttemptListener {
public:
    virtual ~AttemptListener() = default;
    virtual void on_attempt_document(StatementAttempt& attempt, statement::Document document,
                                     const http::Headers& headers) = 0;
    // The call ended without a final document.
    virtual void on_attempt_call_ended(StatementAttempt& attempt, const statement::CallEnd& end) = 0;
};

// One attempt of a statement at one engine.
struct StatementAttempt final : statement::EngineCall::Events {
    // The loop, the listener and the statement outlive the attempt.
    StatementAttempt(net::Loop& event_loop, AttemptListener& attempt_listener, ActiveStatement& owner,
                     EngineId engine_id, Micros progress_period);
    ~StatementAttempt() override;
    StatementAttempt(const StatementAttempt&) = delete;
    StatementAttempt& operator=(const StatementAttempt&) = delete;

    void on_document(statement::EngineCall&, statement::Document document,
                     const http::Headers& headers) override {
        listener.on_attempt_document(*this, std::move(document), headers);
    }
    void on_end(statement::EngineCall&, statement::CallEnd end) override {
        listener.on_attempt_call_ended(*this, end);
    }

    net::Loop& loop;
    AttemptListener& listener;
    ActiveStatement& statement;
    int number;  // of the statement's attempts, from 0
    EngineId engine;
    std::unique_ptr<statement::EngineCall> call;  // null where it was never sent
    Micros sent_at;
    decide::ProgressReporter progress;
    net::TimerId timeout_timer = 0;
    bool in_lifecycle = false;  // the statement's lifecycle counts it as in flight
    bool completed = false;
    bool executed = false;  // some document showed work, rows or a running state
    decide::AttemptEndRecord end_record;
    std::int64_t row_bytes = 0;
    std::string engine_query_id;
    std::string engine_name;
    std::string engine_kind;
    store::LedgerWriter::QueueSlot ledger_slot;
    statement::Stats stats;
    std::string columns;  // by the latest document that had them
    std::optional<LoadReport> load_report;
};

struct ActiveStatement {
    std::string id;
    statement::Submission submission;
    decide::RoutingResult route;
    std::string team;  // whose budget it counts on; empty: none
    // Times of the loop; 0: not yet.
    Micros arrived_at = 0;
    Micros deadline = 0;
    Micros first_sent_at = 0;
    Micros ended_at = 0;
    std::vector<std::unique_ptr<StatementAttempt>> attempts;
    double memory_grant_mb = 0;  // 0: none
    int priority = 1;
    decide::RequestLifecycle lifecycle;
    StatementOutcome outcome = StatementOutcome::failed;
    AttemptOutcome last_attempt_outcome = AttemptOutcome::not_sent;
    std::string last_error;
    std::string last_engine;
    statement::Stats stats;
    // Set where the ledger accepted it.
    bool in_ledger = false;
    std::uint32_t ledger_number = 0;
    std::optional<decide::RequestRow> ledger_row;  // until its last state is recorded
    store::LedgerWriter::QueueSlot ledger_slot;

    StatementAttempt* attempt_in_flight() {
        return lifecycle.attempt_in_flight() ? attempts.back().get() : nullptr;
    }
    bool is_streaming() const {
        return lifecycle.phase() == decide::RequestPhase::streaming;
    }
};

class ActiveStatements {
public:
    explicit ActiveStatements(net::Loop& loop);

    ActiveStatement& add(std::unique_ptr<ActiveStatement> statement);
    // Null where the id is unknown.
    ActiveStatement* find(const std::string& id);
    // Those with an attempt in flight that was sent to its engine.
    std::vector<StatementAttempt*> sent_attempts_in_flight();
    void release_later(const std::string& id) {
        release_.schedule(id);
    }
    std::size_t size() const {
        return by_id_.size();
    }

private:
    std::unordered_map<std::string, std::unique_ptr<ActiveStatement>> by_id_;
    core::DeferredRelease release_;
};

}  // namespace gatetiller::front
