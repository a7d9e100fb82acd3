// Ends statements: by this front's own final document, by the delivery of the final document, or because the
// client is gone.
#pragma once

#include <string>

#include "front/attempt_dispatcher.hpp"
#include "front/front_services.hpp"

namespace gatetiller::front {

class StatementCompletion {
public:
    // `on_finished` gets the record of each finished statement; may be empty. `services` and `dispatcher`
    // outlive this.
    StatementCompletion(FrontServices& services, AttemptDispatcher& dispatcher,
                        std::function<void(const FinishedStatement&)> on_finished);

    // The policy sheds the statement. No effect on one that is finished.
    void shed(const ShedRequest& action);
    // The policy gives the statement up. No effect on one that is finished.
    void fail(const FailRequest& action);
    // The client cancelled the statement or stopped polling.
    void on_client_left(const std::string& id, statement::Left reason);
    void on_final_delivered(const std::string& id);

private:
    void push_final(ActiveStatement& statement, statement::Document document, StatementOutcome outcome,
                    Micros retry_after);
    void finish(ActiveStatement& statement);

    FrontServices& services_;
    AttemptDispatcher& dispatcher_;
    std::function<void(const FinishedStatement&)> on_finished_;
};

}  // namespace gatetiller::front
