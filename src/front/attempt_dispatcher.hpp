// Carries out what the policy decides on attempts: sends them to engines, cancels them, and reports how they
// ended. The attempt guard checks each one twice: before it is sent, and before its first byte goes out, as
// its connection may come up long after.
#pragma once

#include <optional>

#include "decide/attempt_guard.hpp"
#include "front/front_services.hpp"

namespace gatetiller::front {

class AttemptDispatcher {
public:
    // `listener` receives what the engines answer. Both outlive the dispatcher.
    AttemptDispatcher(FrontServices& services, AttemptListener& listener);

    // Sends an attempt. One that the guard forbids is logged, counted and completed as not sent.
    void dispatch(const DispatchAttempt& action);
    // Cancels an attempt, unless it has completed or its rows are streaming.
    void cancel(const CancelAttempt& action);
    // Cancels the attempt in flight of a statement whose client is gone, even while its rows are streaming.
    void cancel_in_flight(ActiveStatement& statement);
    // Withdraws attempts to draining endpoints of which nothing has gone out yet.
    void withdraw_unsent_to_draining();
    // Ends an attempt and reports it to the policy, once. `final_response_ready`: its statement has its final
    // response, whatever else the policy would do.
    void complete(StatementAttempt& attempt, AttemptOutcome outcome, bool final_response_ready);

private:
    enum class GuardMoment : std::uint8_t {
        before_dispatch,
        before_first_byte,
    };

    std::optional<decide::Invariant> find_violation(const StatementAttempt& attempt, GuardMoment moment);
    decide::AttemptContext context_of(const StatementAttempt& attempt, GuardMoment moment);
    std::optional<decide::EarlierExecution> earlier_execution_before(const StatementAttempt& attempt);
    decide::EndpointSnapshot snapshot_of(EngineId id);
    bool may_begin(const StatementAttempt& attempt);
    void send(StatementAttempt& attempt, Engine& engine, Micros time_limit);
    http::Headers headers_for(const StatementAttempt& attempt, Micros time_limit) const;
    void on_timeout(StatementAttempt& attempt);

    FrontServices& services_;
    AttemptListener& listener_;
};

}  // namespace gatetiller::front
