// The statements that a front has accepted and not yet released, and their attempts.
//
// Invariants: A statement has at most one attempt in flight, which is the last one. An attempt is completed
// exactly once. A statement is released in a later turn of the loop, after its lifecycle allows it.
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

// Receives the documents of an attempt and the end of its call.
class AttemptListener {
public:
    virtual ~AttemptListener() = default;
    virtual void on_attempt_document(StatementAttempt& attempt, statement::Document document,
                                     const http::Headers& headers) = 0;
    // Called when the call ended without a final document.
    virtual void on_attempt_call_ended(StatementAttempt& attempt, const statement::CallEnd& end) = 0;
};

// One attempt to execute a statement on one engine.
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
    int number;  // index among the statement's attempts, from 0
    EngineId engine;
    std::unique_ptr<statement::EngineCall> call;  // null if the attempt was never sent
    Micros sent_at;
    decide::ProgressReporter progress;
    net::TimerId timeout_timer = 0;
    bool in_lifecycle = false;  // whether the statement's lifecycle counts it as in flight
    bool completed = false;
    bool executed = false;  // whether a document showed CPU time, rows or a running state
    decide::AttemptEndRecord end_record;
    std::int64_t row_bytes = 0;
    std::string engine_query_id;
    std::string engine_name;
    std::string engine_kind;
    store::LedgerWriter::QueueSlot ledger_slot;
    statement::Stats stats;
    std::string columns;  // from the latest document that contained columns
    std::optional<LoadReport> load_report;
};

struct ActiveStatement {
    std::string id;
    statement::Submission submission;
    decide::RoutingResult route;
    std::string team;  // team whose budget the statement is charged to; empty: none
    // Loop times in microseconds; 0: not yet reached.
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
    // Set if the ledger accepted the statement.
    bool in_ledger = false;
    std::uint32_t ledger_number = 0;
    std::optional<decide::RequestRow> ledger_row;  // reset when the final state is recorded
    store::LedgerWriter::QueueSlot ledger_slot;

    // Returns null if none is in flight. An attempt that the guard refused never is.
    StatementAttempt* attempt_in_flight();
    bool is_streaming() const {
        return lifecycle.phase() == decide::RequestPhase::streaming;
    }
};

class ActiveStatements {
public:
    explicit ActiveStatements(net::Loop& loop);

    ActiveStatement& add(std::unique_ptr<ActiveStatement> statement);
    // Returns null if the id is unknown.
    ActiveStatement* find(const std::string& id);
    // Returns the attempts in flight that were sent to their engines.
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
