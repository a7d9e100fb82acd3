// Loops for tests, with a clock that the test changes.
#pragma once

#include "net/forwarding_loop.hpp"

namespace gatetiller::testing {

// A wall clock that is offset by `step`.
class LoopWithWallClockStep final : public net::ForwardingLoop {
public:
    using ForwardingLoop::ForwardingLoop;
    Micros wall() const override {
        return ForwardingLoop::wall() + step;
    }
    Micros step = 0;
};

// A monotonic clock that only the test moves: a limit on time is reached when the test says so, however slow
// the machine is. Timers still run by the real clock.
class LoopWithManualClock final : public net::ForwardingLoop {
public:
    using ForwardingLoop::ForwardingLoop;
    Micros now() const override {
        return time;
    }
    Micros time = kSecondMicros;
};

}  // namespace gatetiller::testing
