// A Loop wrapper that reports the traffic on its sockets to a sink: the records read by the rule checker. It
// sits below every protocol, so that code above it cannot report traffic that did not happen.
#pragma once

#include "net/loop.hpp"

namespace gatetiller::net {

struct TapEvent {
    enum class What {
        accepted,
        connecting,
        connected,
        sent,
        received,
        closed
    };
    Micros at = 0;
    std::uint64_t stream = 0;  // unique number of the stream
    What what = What::sent;
    std::string_view peer;
    std::string_view bytes;  // for sent and received: all bytes of one call
};

class TapLoop final : public Loop {
public:
    using Sink = std::function<void(const TapEvent&)>;
    TapLoop(Loop& below, Sink sink) : below_(below), sink_(std::move(sink)) {}

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
                                             std::function<void(std::unique_ptr<Stream>)> accepted) override;
    std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) override;
    // Datagrams carry no statements and are not reported to the sink.
    Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) override {
        return below_.datagrams(at, std::move(received));
    }

private:
    class Tapped;
    void report(std::uint64_t stream, TapEvent::What what, std::string_view peer,
                std::string_view bytes = {}) {
        sink_({now(), stream, what, peer, bytes});
    }

    Loop& below_;
    Sink sink_;
    std::uint64_t last_ = 0;
};

}  // namespace gatetiller::net
