// The one guard of closing client connections: only a permit closes one, and only this guard gives permits. A
// connection with something unread, unsent or unanswered is closed for a named reason alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "decide/invariants.hpp"

namespace gatetiller::decide {

enum class CloseReason : std::uint8_t {
    made_room,      // at rest, and the table is full
    overdue,        // no whole request in time
    wind_down,      // at rest, at a planned restart
    malformed,      // told so, and what was taken before is answered; nothing else that comes could be read
    peer_ended,     // nobody is there
    reads_nothing,  // more answers unread than one client may hold
    lingered,       // had its time to read the last words
    process_ends,   // the planned restart is over
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::process_ends) + 1;
const char* name_of(CloseReason reason);

struct ClosingFacts {
    std::size_t open = 0;  // requests without a final answer
    bool unsent = false;   // part of an answer has not gone out
    bool unread = false;   // bytes have come that were not looked at
};

class ClosePermit {
    ClosePermit() = default;
    friend class CloseGuard;
};

class CloseGuard {
public:
    // What forbids closing it, if anything does. Reasons for which a connection must go all the same forbid
    // nothing.
    static std::optional<Invariant> forbids(const ClosingFacts& facts, CloseReason reason);
    static std::optional<ClosePermit> permit(const ClosingFacts& facts, CloseReason reason);
};

}  // namespace gatetiller::decide
