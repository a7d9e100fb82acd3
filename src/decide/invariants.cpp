#include "decide/invariants.hpp"

#include <numeric>

namespace gatetiller::decide {

const char* name_of(Invariant invariant) {
    switch (invariant) {
        case Invariant::send_after_final_response:
            return "send_after_final_response";
        case Invariant::send_after_client_disconnected:
            return "send_after_client_disconnected";
        case Invariant::send_past_deadline:
            return "send_past_deadline";
        case Invariant::send_while_attempt_in_flight:
            return "send_while_attempt_in_flight";
        case Invariant::send_to_unlisted_engine:
            return "send_to_unlisted_engine";
        case Invariant::send_past_drain_grace:
            return "send_past_drain_grace";
        case Invariant::send_over_slow_start_budget:
            return "send_over_slow_start_budget";
        case Invariant::send_against_placement:
            return "send_against_placement";
        case Invariant::send_over_max_attempts:
            return "send_over_max_attempts";
        case Invariant::retry_of_non_idempotent:
            return "retry_of_non_idempotent";
        case Invariant::retry_past_key_window:
            return "retry_past_key_window";
        case Invariant::retry_outside_key_scope:
            return "retry_outside_key_scope";
        case Invariant::close_with_request_open:
            return "close_with_request_open";
        case Invariant::close_with_response_unsent:
            return "close_with_response_unsent";
        case Invariant::close_over_unread_bytes:
            return "close_over_unread_bytes";
        case Invariant::ready_without_endpoints:
            return "ready_without_endpoints";
        case Invariant::ready_without_listener:
            return "ready_without_listener";
        case Invariant::ready_without_signals:
            return "ready_without_signals";
    }
    return "unknown";
}

std::uint64_t ViolationCounts::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::string ViolationCounts::text() const {
    std::string listed;
    for (std::size_t i = 0; i < kInvariants; ++i) {
        if (counts_[i] == 0)
            continue;
        listed += listed.empty() ? "(" : ",";
        listed += name_of(static_cast<Invariant>(i));
        listed += ":" + std::to_string(counts_[i]);
    }
    return std::to_string(total()) + (listed.empty() ? "" : listed + ")");
}

}  // namespace gatetiller::decide
