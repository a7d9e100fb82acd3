// One end of a stream for tests: records the received bytes and how the stream was closed.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/loop.hpp"

namespace gatetiller::testing {

struct StreamEnd final : net::StreamEvents {
    void on_connected() override {
        connected = true;
    }
    void on_data(Buffer& in) override {
        received.append(in.view());
        in.consume(in.size());
    }
    void on_closed(net::Closed how) override {
        closed = how;
    }
    std::unique_ptr<net::Stream> stream;
    std::string received;
    bool connected = false;
    std::optional<net::Closed> closed;
};

}  // namespace gatetiller::testing
