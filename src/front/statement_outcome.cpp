#include "front/statement_outcome.hpp"

namespace gatetiller::front {

const char* name_of(StatementOutcome outcome) {
    switch (outcome) {
        case StatementOutcome::served:
            return "served";
        case StatementOutcome::shed:
            return "refused";
        case StatementOutcome::failed:
            return "failed";
        case StatementOutcome::truncated:
            return "cut";
        case StatementOutcome::cancelled:
            return "cancelled";
        case StatementOutcome::abandoned:
            return "abandoned";
    }
    return "?";
}

decide::RequestState request_state_of(StatementOutcome outcome) {
    switch (outcome) {
        case StatementOutcome::served:
            return decide::RequestState::served;
        case StatementOutcome::shed:
            return decide::RequestState::shed;
        case StatementOutcome::failed:
            return decide::RequestState::failed;
        case StatementOutcome::truncated:
            return decide::RequestState::truncated;
        case StatementOutcome::cancelled:
            return decide::RequestState::cancelled;
        case StatementOutcome::abandoned:
            return decide::RequestState::abandoned;
    }
    return decide::RequestState::failed;
}

const char* name_of(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::draining:
            return "draining";
        case RejectionReason::no_route:
            return "no_route";
        case RejectionReason::over_budget:
            return "over_budget";
        case RejectionReason::front_full:
            return "front_full";
        case RejectionReason::user_full:
            return "user_full";
        case RejectionReason::statement_too_long:
            return "too_long";
    }
    return "?";
}

}  // namespace gatetiller::front
