// Executes the policy's decisions about attempts: sends attempts to engines, cancels them, and reports how
// they ended. The attempt guard checks each attempt twice: before it is dispatched, and before its first byte
// is written, because its connection may be established much later.
#pragma once

#include <optional>

#include "decide/attempt_guard.hpp"
#include "front/front_services.hpp"

namespace gatetiller::front {

class AttemptDispatcher {
public:
    // `listener` receives the engines' responses. Both parameters outlive the dispatcher.
    AttemptDispatcher(FrontServices& services, AttemptListener& listener);

    // Sends an attempt. An attempt that the guard refuses is logged, counted and completed as not sent.
    void dispatch(const DispatchAttempt& action);
    // Cancels an attempt unless it is completed or its rows are being streamed.
    void cancel(const CancelAttempt& action);
    // Cancels the attempt in flight of a statement whose client has disconnected, even while its rows are
    // being streamed.
    void cancel_in_flight(ActiveStatement& statement);
    // Withdraws attempts to draining endpoints of which no byte has been written yet.
    void withdraw_unsent_to_draining();
    // Completes an attempt and reports it to the policy; only the first call has an effect.
    // `final_response_ready`: whether the statement already has its final response, so that the policy must
    // not retry it. If not, rows of the attempt that the client has not fetched are dropped.
    void complete(StatementAttempt& attempt, AttemptOutcome outcome, bool final_response_ready);
    // Drops the rows that the client has not fetched.
    void drop_waiting_rows(const ActiveStatement& statement);

private:
    enum class GuardMoment : std::uint8_t {
        before_dispatch,
        before_first_byte,
    };

    std::optional<decide::Invariant> find_violation(const StatementAttempt& attempt, GuardMoment moment);
    decide::AttemptContext context_of(const StatementAttempt& attempt, GuardMoment moment);
    std::optional<decide::EarlierExecution> earlier_execution_before(const StatementAttempt& attempt);
    decide::EndpointSnapshot snapshot_of(EngineId id);
    bool may_send_first_byte(const StatementAttempt& attempt);
    void send(StatementAttempt& attempt, Engine& engine, Micros time_limit);
    http::Headers headers_for(const StatementAttempt& attempt, Micros time_limit) const;
    void on_timeout(StatementAttempt& attempt);

    FrontServices& services_;
    AttemptListener& listener_;
};

}  // namespace gatetiller::front
