// The one guard of closing client connections: only a permit closes one, and only this guard gives permits. A
// connection with something unread, unsent or unanswered is closed for a named reason alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

enum class CloseReason : std::uint8_t {
    evicted,          // at rest, and the table is full
    request_timeout,  // no whole request in time
    shutdown,         // at rest, at a planned restart
    malformed,        // told so, and what was taken before is answered; nothing else that comes could be read
    peer_closed,      // nobody is there
    slow_reader,      // more answers unread than one client may hold
    linger_timeout,   // had its time to read the last words
    process_exit,     // the planned restart is over
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::process_exit) + 1;
const char* name_of(CloseReason reason);

struct ClosingContext {
    std::size_t open_requests = 0;  // requests without a final answer
    bool has_unsent = false;        // part of an answer has not gone out
    bool has_unread = false;        // bytes have come that were not looked at
};

class ClosePermit {
    ClosePermit() = default;
    friend class CloseGuard;
};

class CloseGuard {
public:
    // What forbids closing it, if anything does. Reasons for which a connection must go all the same forbid
    // nothing.
    static std::optional<Invariant> find_violation(const ClosingContext& facts, CloseReason reason);
    static std::optional<ClosePermit> permit(const ClosingContext& facts, CloseReason reason);
};

}  // namespace gatetiller::decide
