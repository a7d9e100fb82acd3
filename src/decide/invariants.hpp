// The invariants of a gateway and the counts of their prevented violations.
//
// Each invariant is checked by one guard at the action it concerns: attempt_guard.hpp (send_*, retry_*),
// close_guard.hpp (close_*) and readiness_guard.hpp (ready_*). A guard refuses the action; the gateway counts
// the refusal in ViolationCounts and logs it. Unless the program is faulty all counts stay 0, whatever fails
// around it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace gatetiller::decide {

// Named by the violation that is prevented.
enum class Invariant : std::uint8_t {
    // An attempt after the client was sent its final response.
    send_after_final_response,
    // An attempt for a client that disconnected or cancelled.
    send_after_client_disconnected,
    // An attempt after the request's deadline.
    send_past_deadline,
    // A second concurrent attempt of one request where the settings allow no hedging.
    send_while_attempt_in_flight,
    // An attempt to an engine that the endpoint list does not contain.
    send_to_unlisted_engine,
    // An attempt to an engine that has been draining for longer than the drain grace.
    send_past_drain_grace,
    // An attempt beyond the budget of an engine in slow start.
    send_over_slow_start_budget,
    // An attempt to a kind of engine or a zone that the class does not allow.
    send_against_placement,
    // An attempt beyond the maximum number of attempts of one request.
    send_over_max_attempts,
    // A retry of a non-idempotent request that may have executed.
    retry_of_non_idempotent,
    // A retry after the engines may have forgotten the idempotency key.
    retry_past_key_window,
    // A retry to an engine that does not share the idempotency keys of the first.
    retry_outside_key_scope,
    // Closing a client connection while a request has no final response.
    close_with_request_open,
    // Closing a client connection while part of a response is not written.
    close_with_response_unsent,
    // Closing a client connection over received bytes that were not read.
    close_over_unread_bytes,
    // Reporting readiness without an endpoint list.
    ready_without_endpoints,
    // Reporting readiness before clients can connect.
    ready_without_listener,
    // Reporting readiness before signals are handled.
    ready_without_signals,
};
// Number of values of Invariant.
constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::ready_without_signals) + 1;

// The enumerator's name, which logs and the status contain.
const char* name_of(Invariant invariant);

// How many violations of each invariant were prevented since the process started.
class ViolationCounts {
public:
    void count(Invariant invariant) {
        ++counts_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t of(Invariant invariant) const {
        return counts_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t total() const;
    // For the status: "0", or the total and each count that is not 0, as in "3(send_past_deadline:3)".
    std::string text() const;

private:
    std::array<std::uint64_t, kInvariants> counts_{};
};

}  // namespace gatetiller::decide
