// What must hold whenever a front acts, by name. Each is asked by one guard at the action itself
// (attempt_guard.hpp, close_guard.hpp, readiness_guard.hpp); what a guard refuses is counted here and shown
// in the status. In a sound front all counts stay at zero, whatever fails around it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace gatetiller::decide {

enum class Invariant : std::uint8_t {
    // sending
    send_after_final,
    send_after_client_left,
    send_past_deadline,
    send_while_attempt_out,
    send_to_unlisted_engine,
    send_past_drain_grace,
    send_over_slow_start_budget,
    send_against_placement,
    send_over_max_attempts,
    // repeating
    retry_of_non_idempotent,
    retry_past_key_window,
    retry_outside_key_scope,
    // closing
    close_with_request_open,
    close_with_response_unsent,
    close_over_unread_bytes,
    // starting
    ready_without_endpoints,
    ready_without_listener,
    ready_without_signals,
};
constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::ready_without_signals) + 1;

const char* name_of(Invariant invariant);

// How often each was refused.
class ViolationCounts {
public:
    void count(Invariant invariant) {
        ++counts_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t of(Invariant invariant) const {
        return counts_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t total() const;
    std::string text() const;  // "0", or the total and each that isn't zero: "3(send_past_deadline:3)"

private:
    std::array<std::uint64_t, kInvariants> counts_{};
};

}  // namespace gatetiller::decide
