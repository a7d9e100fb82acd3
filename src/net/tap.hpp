// A Loop wrapper that reports the traffic on its sockets to a sink: the records read by the rule checker. It
// sits below every protocol, so that code above it cannot report traffic that did not happen.
#pragma once

#include "net/forwarding_loop.hpp"

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

// Datagrams carry no statements and are not reported to the sink.
class TapLoop final : public ForwardingLoop {
public:
    using Sink = std::function<void(const TapEvent&)>;
    TapLoop(Loop& below, Sink sink) : ForwardingLoop(below), sink_(std::move(sink)) {}

    Result<std::unique_ptr<Listener>> listen(const Address& at,
                                             std::function<void(std::unique_ptr<Stream>)> accepted) override;
    std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) override;

private:
    class Tapped;
    void report(std::uint64_t stream, TapEvent::What what, std::string_view peer,
                std::string_view bytes = {}) {
        sink_({now(), stream, what, peer, bytes});
    }

    Sink sink_;
    std::uint64_t last_ = 0;
};

}  // namespace gatetiller::net
