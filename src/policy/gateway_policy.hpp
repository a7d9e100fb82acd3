// All decisions of one gateway on a request's ordinary path: which request goes next, to which endpoint, when
// it is tried again, and when it is given up. The policy takes events and returns actions; it does no I/O,
// reads no clock and shares nothing with other instances. The same settings, seed and events give the same
// actions. This header and the three that it includes are the library's public interface.
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
    // `now` is the time of the first event or before, in microseconds of any clock that does not go back.
    // Throws std::invalid_argument if the settings contradict themselves.
    GatewayPolicy(Micros now, std::uint64_t seed, PolicySettings settings);
    ~GatewayPolicy();
    GatewayPolicy(GatewayPolicy&&) noexcept;
    GatewayPolicy& operator=(GatewayPolicy&&) noexcept;

    // The first actions. To be called once, before the first event.
    std::vector<Action> start();
    // Takes one event and returns the actions that follow from it. An event of an unknown request, attempt or
    // endpoint has no effect; a time before the last event's counts as that event's time.
    std::vector<Action> handle(Micros now, const Event& event);
    // The share of free slots offered to latency-sensitive requests first, in [0.05, 0.95]; for metrics.
    double sensitive_share() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gatetiller
