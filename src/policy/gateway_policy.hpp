// All scheduling decisions of one gateway: which request is dispatched next, to which endpoint, when it is
// retried, and when it is terminated. The policy handles events and returns actions; it does no I/O, reads no
// clock and shares no state with other instances. The same settings, seed and events give the same actions.
// This header, actions.hpp, events.hpp and settings.hpp are the public interface of the library.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/time.hpp"
#include "policy/actions.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"

namespace gatetiller {

class GatewayPolicy {
public:
    // `now` is at most the time of the first event, in microseconds of any monotonic clock. Throws
    // std::invalid_argument if the settings are invalid.
    GatewayPolicy(Micros now, std::uint64_t seed, PolicySettings settings);
    ~GatewayPolicy();
    GatewayPolicy(GatewayPolicy&&) noexcept;
    GatewayPolicy& operator=(GatewayPolicy&&) noexcept;

    // Returns the initial actions. To be called once, before the first event.
    std::vector<Action> start();
    // Handles one event and returns the resulting actions. An event of an unknown request, attempt or
    // endpoint has no effect. A time before that of the last event is replaced by the latter.
    std::vector<Action> handle(Micros now, const Event& event);
    // Returns the share of free slots that is offered to latency-sensitive requests first (alpha of the
    // paper), in [0.05, 0.95]. For metrics.
    double sensitive_share() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gatetiller
