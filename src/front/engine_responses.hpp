// Turns what engines answer into events of the policy and documents of the client.
#pragma once

#include "decide/attempt_end.hpp"
#include "front/attempt_dispatcher.hpp"
#include "front/front_services.hpp"

namespace gatetiller::front {

class EngineResponses final : public AttemptListener {
public:
    // Both outlive this.
    EngineResponses(FrontServices& services, AttemptDispatcher& dispatcher);

    void on_attempt_document(StatementAttempt& attempt, statement::Document document,
                             const http::Headers& headers) override;
    void on_attempt_call_ended(StatementAttempt& attempt, const statement::CallEnd& end) override;
    // Asks the engine for the next document, where the limits on waiting rows allow it.
    void fetch_next(StatementAttempt& attempt) const;

private:
    void on_final_document(StatementAttempt& attempt, statement::Document document,
                           const http::Headers& headers);
    void end_attempt(StatementAttempt& attempt, const decide::AttemptEnd& end, statement::Document document,
                     const http::Headers& headers);
    void serve(StatementAttempt& attempt, AttemptOutcome outcome, statement::Document document,
               const http::Headers& headers);
    void truncate(StatementAttempt& attempt, AttemptOutcome outcome, statement::Document document);
    bool report_progress(StatementAttempt& attempt, const statement::Stats& stats) const;
    void push(const StatementAttempt& attempt, statement::Document document, const http::Headers& headers);

    FrontServices& services_;
    AttemptDispatcher& dispatcher_;
};

}  // namespace gatetiller::front
