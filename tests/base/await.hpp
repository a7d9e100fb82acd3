// Conditions are awaited, never slept for: turns of a loop until one holds. False only after a limit that no
// sound run comes near.
#pragma once

#include "net/poll_loop.hpp"

namespace gatetiller::testing {

template <typename Condition>
[[nodiscard]] bool await(net::PollLoop& loop, Condition condition, Micros limit = 30 * kSecondMicros) {
    for (const Micros end = loop.now() + limit; !condition();) {
        if (loop.now() >= end)
            return false;
        loop.turn(5 * kMillisecond);
    }
    return true;
}

}  // namespace gatetiller::testing
