// Records statements and attempts in the ledger, and reports what the ledger knows of earlier incarnations of
// this front. Without a ledger every function does nothing.
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
        // Once, when the ledger is open: whether the last incarnation was killed.
        std::function<void(bool killed)> on_previous_incarnation;
        // Work of earlier incarnations, once for each entry.
        std::function<void(const store::Ledger::WorkSample&)> on_past_work;
    };

    // `writer` may be null. It and the loop outlive the recorder.
    LedgerRecorder(net::Loop& loop, store::LedgerWriter* writer, Events events);
    ~LedgerRecorder();
    LedgerRecorder(const LedgerRecorder&) = delete;
    LedgerRecorder& operator=(const LedgerRecorder&) = delete;

    bool enabled() const {
        return writer_ != nullptr;
    }
    // Begins to hand over rows at the writer's interval.
    void start();
    // `route_tenant`: whose statement it is, whatever tenant the policy counts.
    void record_accepted(ActiveStatement& statement, const std::string& route_tenant,
                         const ClassSettings& class_settings);
    void record_attempt(StatementAttempt& attempt, decide::AttemptState state);
    // The last record of a statement. `ended_at`: loop time at which its final document was ready.
    void record_finished(ActiveStatement& statement, Micros ended_at);
    // The client tag by which the engine's own log names the attempt; empty without a ledger.
    std::string attempt_tag(const StatementAttempt& attempt) const;
    store::LedgerWriterStatus status() const {
        return writer_->status();
    }
    // The member "ledger" of GET /v1/status after a comma; empty without a ledger.
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
