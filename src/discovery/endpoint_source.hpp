// Endpoint discovery of a front, from a watched file or from a list polled over HTTP with entity tags. A
// source reports complete lists only; while it is unavailable, the last list remains in effect.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "http/client.hpp"
#include "net/loop.hpp"

namespace gatetiller::discovery {

class EndpointSource {
public:
    struct Events {
        // Receives the complete list when it changed, when the source is available again, and in response to
        // poll().
        std::function<void(std::vector<config::EngineSettings>)> on_list;
        // Receives the reason when the source becomes unavailable, once until it is available again, and in
        // response to poll().
        std::function<void(std::string reason)> on_unavailable;
    };

    virtual ~EndpointSource() = default;
    // Polls immediately and then at the configured interval.
    virtual void start(Events events) = 0;
    // Polls immediately. No effect while a poll is in flight.
    virtual void poll() = 0;
};

// Creates the configured source, or returns null if none is configured. `instance_name` is part of the user
// agent sent to an HTTP source. The loop must outlive the source.
std::unique_ptr<EndpointSource> make_endpoint_source(net::Loop& loop, const config::RosterSettings& settings,
                                                     const std::string& instance_name);

}  // namespace gatetiller::discovery
