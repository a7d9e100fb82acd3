#include "decide/close_guard.hpp"

namespace gatetiller::decide {

const char* name_of(CloseReason reason) {
    switch (reason) {
        case CloseReason::made_room:
            return "made_room";
        case CloseReason::overdue:
            return "overdue";
        case CloseReason::wind_down:
            return "wind_down";
        case CloseReason::malformed:
            return "malformed";
        case CloseReason::peer_ended:
            return "peer_ended";
        case CloseReason::reads_nothing:
            return "reads_nothing";
        case CloseReason::lingered:
            return "lingered";
        case CloseReason::process_ends:
            return "process_ends";
    }
    return "unknown";
}

std::optional<Invariant> CloseGuard::forbids(const ClosingFacts& facts, CloseReason reason) {
    switch (reason) {
        case CloseReason::peer_ended:
        case CloseReason::reads_nothing:
        case CloseReason::lingered:
        case CloseReason::process_ends:
            return std::nullopt;
        case CloseReason::malformed:
            // What is unsent goes out, and nothing unread could be understood; what was taken is owed.
            return facts.open > 0 ? std::optional(Invariant::close_with_request_open) : std::nullopt;
        case CloseReason::made_room:
        case CloseReason::overdue:
        case CloseReason::wind_down:
            break;
    }
    if (facts.open > 0)
        return Invariant::close_with_request_open;
    if (facts.unsent)
        return Invariant::close_with_answer_unsent;
    if (facts.unread)
        return Invariant::close_over_unread_bytes;
    return std::nullopt;
}

std::optional<ClosePermit> CloseGuard::permit(const ClosingFacts& facts, CloseReason reason) {
    if (forbids(facts, reason))
        return std::nullopt;
    return ClosePermit();
}

}  // namespace gatetiller::decide
