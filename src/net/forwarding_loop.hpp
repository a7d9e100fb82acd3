// A base class for loops that change some functions of another loop and forward the rest.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "net/loop.hpp"

namespace gatetiller::net {

// Forwards everything to another loop, which must outlive it.
class ForwardingLoop : public Loop {
public:
    explicit ForwardingLoop(Loop& below) : below_(below) {}
    Micros now() const override {
        return below_.now();
    }
    Micros input_delay() const override {
        return below_.input_delay();
    }
    Micros wall() const override {
        return below_.wall();
    }
    TimerId after(Micros delay, std::function<void()> call) override {
        return below_.after(delay, std::move(call));
    }
    void cancel(TimerId timer) override {
        below_.cancel(timer);
    }
    std::size_t timers() const override {
        return below_.timers();
    }
    Result<std::unique_ptr<Listener>> listen(const Address& at,
                                             std::function<void(std::unique_ptr<Stream>)> accepted) override {
        return below_.listen(at, std::move(accepted));
    }
    std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) override {
        return below_.connect(to, events, time_out);
    }
    Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) override {
        return below_.datagrams(at, std::move(received));
    }

private:
    Loop& below_;
};

}  // namespace gatetiller::net
