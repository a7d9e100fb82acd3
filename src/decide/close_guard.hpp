// Guard of closing client connections: decides whether this side may close one now, and for which reason.
//
// A connection on which a request has no final response, a response is partly written or received bytes are
// unread is closed only for a reason that makes all three irrelevant (peer_closed, slow_reader,
// linger_timeout, process_exit); for `malformed` only the requests read before must have a final response.
// The verdict is the violated invariant (invariants.hpp), or none.
//
// Invariant: this side closes a client connection only against a ClosePermit, and only CloseGuard creates
// permits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

// Why this side closes a client connection.
enum class CloseReason : std::uint8_t {
    // Idle, and closed for a new client at the connection limit (client_eviction.hpp).
    evicted,
    // No complete request arrived in time (ClientTimeouts).
    request_timeout,
    // Idle at a graceful shutdown.
    shutdown,
    // The client sent a malformed message; it was sent an error.
    malformed,
    // The client closed the connection, or it broke.
    peer_closed,
    // The client does not read its responses (slow_reader.hpp).
    slow_reader,
    // The client did not close within ClientTimeouts::linger_timeout after its last response.
    linger_timeout,
    // The process exits at the end of a graceful shutdown.
    process_exit,
};
// Number of values of CloseReason.
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::process_exit) + 1;

// The enumerator's name, which logs and the status contain.
const char* name_of(CloseReason reason);

// What CloseGuard considers about a client connection.
struct ClosingContext {
    // Requests without a final response.
    std::size_t open_requests = 0;
    // Part of a response is not written.
    bool has_unsent = false;
    // Bytes were received and not read.
    bool has_unread = false;
};

// Proof that CloseGuard admitted the close of one connection.
class ClosePermit {
    ClosePermit() = default;
    friend class CloseGuard;
};

class CloseGuard {
public:
    // The first invariant that closing for `reason` would violate, or nothing.
    static std::optional<Invariant> find_violation(const ClosingContext& context, CloseReason reason);
    // A permit where find_violation() finds nothing; nothing otherwise.
    static std::optional<ClosePermit> permit(const ClosingContext& context, CloseReason reason);
};

}  // namespace gatetiller::decide
