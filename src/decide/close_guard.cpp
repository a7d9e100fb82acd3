#include "decide/close_guard.hpp"

namespace gatetiller::decide {

const char* name_of(CloseReason reason) {
    switch (reason) {
        case CloseReason::evicted:
            return "made_room";
        case CloseReason::request_timeout:
            return "overdue";
        case CloseReason::shutdown:
            return "wind_down";
        case CloseReason::malformed:
            return "malformed";
        case CloseReason::peer_closed:
            return "peer_ended";
        case CloseReason::slow_reader:
            return "reads_nothing";
        case CloseReason::linger_timeout:
            return "lingered";
        case CloseReason::process_exit:
            return "process_ends";
    }
    return "unknown";
}

std::optional<Invariant> CloseGuard::find_violation(const ClosingContext& facts, CloseReason reason) {
    switch (reason) {
        case CloseReason::peer_closed:
        case CloseReason::slow_reader:
        case CloseReason::linger_timeout:
        case CloseReason::process_exit:
            return std::nullopt;
        case CloseReason::malformed:
            // What is unsent goes out, and nothing unread could be understood; what was taken is owed.
            return facts.open_requests > 0 ? std::optional(Invariant::close_with_request_open) : std::nullopt;
        case CloseReason::evicted:
        case CloseReason::request_timeout:
        case CloseReason::shutdown:
            break;
    }
    if (facts.open_requests > 0)
        return Invariant::close_with_request_open;
    if (facts.has_unsent)
        return Invariant::close_with_response_unsent;
    if (facts.has_unread)
        return Invariant::close_over_unread_bytes;
    return std::nullopt;
}

std::optional<ClosePermit> CloseGuard::permit(const ClosingContext& facts, CloseReason reason) {
    if (find_violation(facts, reason))
        return std::nullopt;
    return ClosePermit();
}

}  // namespace gatetiller::decide
