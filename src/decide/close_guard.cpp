#include "decide/close_guard.hpp"

namespace gatetiller::decide {

const char* name_of(CloseReason reason) {
    switch (reason) {
        case CloseReason::evicted:
            return "evicted";
        case CloseReason::request_timeout:
            return "request_timeout";
        case CloseReason::shutdown:
            return "shutdown";
        case CloseReason::malformed:
            return "malformed";
        case CloseReason::peer_closed:
            return "peer_closed";
        case CloseReason::slow_reader:
            return "slow_reader";
        case CloseReason::linger_timeout:
            return "linger_timeout";
        case CloseReason::process_exit:
            return "process_exit";
    }
    return "unknown";
}

std::optional<Invariant> CloseGuard::find_violation(const ClosingContext& context, CloseReason reason) {
    switch (reason) {
        case CloseReason::peer_closed:
        case CloseReason::slow_reader:
        case CloseReason::linger_timeout:
        case CloseReason::process_exit:
            return std::nullopt;
        case CloseReason::malformed:
            // Unsent bytes are still written before the close, and unread bytes cannot be parsed.
            return context.open_requests > 0 ? std::optional(Invariant::close_with_request_open)
                                             : std::nullopt;
        case CloseReason::evicted:
        case CloseReason::request_timeout:
        case CloseReason::shutdown:
            break;
    }
    if (context.open_requests > 0)
        return Invariant::close_with_request_open;
    if (context.has_unsent)
        return Invariant::close_with_response_unsent;
    if (context.has_unread)
        return Invariant::close_over_unread_bytes;
    return std::nullopt;
}

std::optional<ClosePermit> CloseGuard::permit(const ClosingContext& context, CloseReason reason) {
    if (find_violation(context, reason))
        return std::nullopt;
    return ClosePermit();
}

}  // namespace gatetiller::decide
