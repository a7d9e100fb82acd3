// Loops for tests that forward to a real loop and change what its clocks show.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "net/loop.hpp"

namespace gatetiller::testing {

// Forwards everything to another loop, which must outlive it.
class ForwardingLoop : public net::Loop {
public:
    explicit ForwardingLoop(net::Loop& below) : below_(below) {}
    Micros now() const override {
        return below_.now();
    }
    Micros input_delay() const override {
        return below_.input_delay();
    }
    Micros wall() const override {
        return below_.wall();
    }
    net::TimerId after(Micros delay, std::function<void()> call) override {
        return below_.after(delay, std::move(call));
    }
    void cancel(net::TimerId timer) override {
        below_.cancel(timer);
    }
    std::size_t timers() const override {
        return below_.timers();
    }
    Result<std::unique_ptr<net::Listener>> listen(
        const net::Address& at, std::function<void(std::unique_ptr<net::Stream>)> accepted) override {
        return below_.listen(at, std::move(accepted));
    }
    std::unique_ptr<net::Stream> connect(const net::Address& to, net::StreamEvents& events,
                                         Micros time_out) override {
        return below_.connect(to, events, time_out);
    }
    Result<std::unique_ptr<net::Datagrams>> datagrams(const net::Address& at,
                                                      net::Datagrams::Received received) override {
        return below_.datagrams(at, std::move(received));
    }

private:
    net::Loop& below_;
};

// A wall clock that is offset by `step`.
class LoopWithWallClockStep final : public ForwardingLoop {
public:
    using ForwardingLoop::ForwardingLoop;
    Micros wall() const override {
        return ForwardingLoop::wall() + step;
    }
    Micros step = 0;
};

// A monotonic clock that only the test moves: a limit on time is reached when the test says so, however slow
// the machine is. Timers still run by the real clock.
class LoopWithManualClock final : public ForwardingLoop {
public:
    using ForwardingLoop::ForwardingLoop;
    Micros now() const override {
        return time;
    }
    Micros time = kSecondMicros;
};

}  // namespace gatetiller::testing
