// Runs a GatewayPolicy on an event loop, for any front: events go in one at a time and in order, timers that
// the policy starts are kept here, and every other action goes to the front's handler.
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
    using ActionHandler = std::function<void(const Action&)>;  // never a StartTimer
    // The loop outlives it. Settings that contradict themselves throw std::invalid_argument.
    PolicyDriver(net::Loop& loop, std::uint64_t seed, PolicySettings settings, ActionHandler apply_action);
    ~PolicyDriver();
    PolicyDriver(const PolicyDriver&) = delete;
    PolicyDriver& operator=(const PolicyDriver&) = delete;

    // Applies the policy's actions at the start; to be called once, before the first event.
    void start();
    // Hands an event to the policy and applies its actions. Events posted meanwhile wait for their turn, so
    // that the policy gets them in order.
    void post(Event event);
    // The policy's current alpha; for metrics.
    double alpha() const {
        return policy_.sensitive_share();
    }

private:
    void apply(const std::vector<Action>& actions);

    net::Loop& loop_;
    GatewayPolicy policy_;
    ActionHandler apply_action_;
    std::deque<Event> events_;
    bool posting_ = false;
    std::map<std::int64_t, net::TimerId> timers_;
    std::int64_t last_timer_key_ = 0;
};

}  // namespace gatetiller::core
