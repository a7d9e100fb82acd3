// Runs a GatewayPolicy on an event loop, for any front. Passes events to the policy one at a time and in
// order, runs the timers that the policy starts, and passes every other action to the front's handler.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "net/loop.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::core {

class PolicyDriver {
public:
    // Receives every action except StartTimer.
    using ActionHandler = std::function<void(const Action&)>;
    // The loop outlives the driver. Throws std::invalid_argument if the settings are contradictory.
    PolicyDriver(net::Loop& loop, std::uint64_t seed, PolicySettings settings, ActionHandler apply_action);
    ~PolicyDriver();
    PolicyDriver(const PolicyDriver&) = delete;
    PolicyDriver& operator=(const PolicyDriver&) = delete;

    // Applies the policy's initial actions. Called once, before the first event.
    void start();
    // Passes an event to the policy and applies the resulting actions. Events posted by an action are queued,
    // so that the policy handles one event at a time and in order.
    void post(Event event);
    // The policy's current sensitive share, published in metrics as "alpha".
    double sensitive_share() const {
        return policy_.sensitive_share();
    }

private:
    void apply(const std::vector<Action>& actions);

    net::Loop& loop_;
    GatewayPolicy policy_;
    ActionHandler apply_action_;
    std::deque<Event> events_;
    bool handling_events_ = false;
    std::map<std::int64_t, net::TimerId> timers_;
    std::int64_t last_timer_key_ = 0;
};

}  // namespace gatetiller::core
