// Admission of a well-formed request at a front node, before the policy sees it.
#pragma once

#include <cstddef>

#include "decide/graceful_shutdown.hpp"
#include "decide/resource_limits.hpp"

namespace gatetiller::decide {

// The state of the front node that admission considers.
struct NodeLoad {
    // Requests that are admitted and not finished.
    std::size_t requests = 0;
    // Bytes of their statements.
    std::size_t statement_bytes = 0;
    // Bytes of responses that are not sent, of the client and of all clients.
    std::size_t client_unsent_bytes = 0;
    std::size_t unsent_bytes = 0;
    // One of them has the id of the new request.
    bool duplicate_id = false;
    // Microseconds since the signal for a graceful shutdown; 0: there was none.
    Micros draining_for = 0;
};

// For every verdict but `admitted` a rejection is sent at once. As no attempt was sent, a retry by the
// client is safe.
enum class NodeAdmission {
    // The request goes to the policy.
    admitted,
    // A request with the same id is open.
    duplicate,
    // A limit on requests, on statement bytes or on unsent responses is reached.
    at_capacity,
    // The time for new requests at a graceful shutdown has passed (ShutdownSchedule::admit_until).
    shutting_down
};

// Decides on a request whose statement has `statement_bytes` bytes. A duplicate id takes precedence over the
// other verdicts.
NodeAdmission admit(const NodeLoad& load, std::size_t statement_bytes, const ResourceLimits& limits,
                    const ShutdownSchedule& schedule);

}  // namespace gatetiller::decide
