// Records statements and attempts in the ledger, and reports the ledger's records of earlier incarnations of
// this front. Without a ledger, every function has no effect.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "front/active_statement.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::front {

class LedgerRecorder {
public:
    struct Events {
        std::function<void(const std::string&)> log;
        // Called once, when the ledger is open. `killed`: whether the previous incarnation was killed.
        std::function<void(bool killed)> on_previous_incarnation;
        // Called once for each work sample that earlier incarnations recorded.
        std::function<void(const store::Ledger::WorkSample&)> on_past_work;
    };

    // `writer` may be null. The writer and the loop outlive the recorder.
    LedgerRecorder(net::Loop& loop, store::LedgerWriter* writer, Events events);
    ~LedgerRecorder();
    LedgerRecorder(const LedgerRecorder&) = delete;
    LedgerRecorder& operator=(const LedgerRecorder&) = delete;

    bool enabled() const {
        return writer_ != nullptr;
    }
    // Starts passing rows to the writer periodically, at the writer's flush interval.
    void start();
    // `route_tenant`: tenant according to the route, regardless of the tenant that the policy counts.
    void record_accepted(ActiveStatement& statement, const std::string& route_tenant,
                         const ClassSettings& class_settings);
    void record_attempt(StatementAttempt& attempt, decide::AttemptState state);
    // Writes the final record of a statement. `ended_at`: loop time at which its final document was ready.
    void record_finished(ActiveStatement& statement, Micros ended_at);
    // Returns the client tag that identifies the attempt in the engine's own log; empty without a ledger.
    std::string attempt_tag(const StatementAttempt& attempt) const;
    store::LedgerWriterStatus status() const {
        return writer_->status();
    }
    // Returns the member "ledger" of GET /v1/status, preceded by a comma; empty without a ledger.
    std::string status_member() const;

private:
    void flush();

    net::Loop& loop_;
    store::LedgerWriter* writer_;
    Events events_;
    bool previous_incarnation_known_ = false;
    net::TimerId flush_timer_ = 0;
};

}  // namespace gatetiller::front
