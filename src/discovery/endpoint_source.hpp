// Endpoint discovery of a front: from a watched file or from an HTTP list polled with entity tags. Each
// source reports complete lists only; while it is unavailable, the last list stays in force.
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
        // The complete list: when it changed, when the source is available again, and as the answer to
        // poll().
        std::function<void(std::vector<config::EngineSettings>)> on_list;
        // The source became unavailable, and why: once until it is available again, and as the answer to
        // poll().
        std::function<void(std::string reason)> on_unavailable;
    };

    virtual ~EndpointSource() = default;
    // Polls at once and then at the interval of the settings.
    virtual void start(Events events) = 0;
    // Polls now rather than when it is due. No effect while a poll is in flight.
    virtual void poll() = 0;
};

// The source that the settings name, or null where they name none. `instance_name` is sent to an HTTP list as
// part of the user agent. The loop outlives the source.
std::unique_ptr<EndpointSource> make_endpoint_source(net::Loop& loop, const config::RosterSettings& settings,
                                                     const std::string& instance_name);

}  // namespace gatetiller::discovery
