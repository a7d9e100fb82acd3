// Waits for a condition instead of sleeping: runs turns of a loop until the condition is true. Returns false
// after `limit`, which only a failing run reaches.
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
