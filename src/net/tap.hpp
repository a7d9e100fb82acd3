// A loop that passes everything on to another and tells a sink what really went over its sockets: the records
// that the rule checker reads. It sits below every protocol, so that no code above it can claim what did not
// happen.
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
    std::uint64_t stream = 0;  // a number for each
    What what = What::sent;
    std::string_view peer;
    std::string_view bytes;  // sent or received: all of them, as handed over at once
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
    // Datagrams carry no statement: they are not told to the sink.
    Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) override {
        return below_.datagrams(at, std::move(received));
    }

private:
    class Tapped;
    void tell(std::uint64_t stream, TapEvent::What what, std::string_view peer, std::string_view bytes = {}) {
        sink_({now(), stream, what, peer, bytes});
    }

    Loop& below_;
    Sink sink_;
    std::uint64_t last_ = 0;
};

}  // namespace gatetiller::net
