// Converts the engines' responses into events for the policy and documents for the client.
#pragma once

#include "decide/attempt_end.hpp"
#include "front/attempt_dispatcher.hpp"
#include "front/front_services.hpp"

namespace gatetiller::front {

class EngineResponses final : public AttemptListener {
public:
    // Both parameters outlive this object.
    EngineResponses(FrontServices& services, AttemptDispatcher& dispatcher);

    void on_attempt_document(StatementAttempt& attempt, statement::Document document,
                             const http::Headers& headers) override;
    void on_attempt_call_ended(StatementAttempt& attempt, const statement::CallEnd& end) override;
    // Requests the next document from the engine if the limits on buffered rows allow it.
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
