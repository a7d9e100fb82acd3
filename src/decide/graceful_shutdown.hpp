// Graceful shutdown of a front node: its schedule, and the final response to requests that are still open.
#pragma once

#include <cstdint>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// Microseconds since the signal for the shutdown. Invariant, for a longest deadline over 150 ms: admit_until
// <= listen_until <= final_responses_at < exit_at.
struct ShutdownSchedule {
    // Until then new requests are admitted, as clients are notified of the shutdown with a delay.
    Micros admit_until = 700 * kMillisecond;
    // Until then new connections are accepted, so that their requests are rejected rather than lost.
    Micros listen_until = kSecondMicros;
    // When requests that are still open are sent their final response.
    Micros final_responses_at = 3'300 * kMillisecond;
    // When the process exits, whether or not clients have read their responses or closed.
    Micros exit_at = 3'550 * kMillisecond;
};

// The platform kills the process 700 ms after the longest deadline of a class, where a deadline over 3 s
// counts as 3 s. The process exits 150 ms before that, and final responses are sent 250 ms before it exits.
ShutdownSchedule derive_shutdown_schedule(const PolicySettings& settings);

// The kind of a final response.
enum class FinalResponse : std::uint8_t {
    // The client may safely retry.
    rejected,
    // The request may have been executed, and a retry may execute it again.
    failed
};

// The final response at shutdown to an open request of class `cls`. `may_have_run`: some attempt of it may
// have been executed.
FinalResponse final_response_at_shutdown(const ClassSettings& cls, bool may_have_run);

}  // namespace gatetiller::decide
