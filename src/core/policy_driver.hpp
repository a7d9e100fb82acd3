// core: what stands between any front and the module. Events go in, one at a time and in order; timers that
// the module sets are kept; every other action goes to the front, which carries it out. Both fronts use it.
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
    using ActionHandler = std::function<void(const Action&)>;  // never a SetTimer
    // Settings that contradict themselves throw std::invalid_argument, as the module's constructor does.
    PolicyDriver(net::Loop& loop, std::uint64_t seed, PolicySettings settings, ActionHandler carry_out);
    ~PolicyDriver();
    PolicyDriver(const PolicyDriver&) = delete;
    PolicyDriver& operator=(const PolicyDriver&) = delete;

    void start();  // the module's actions at the start; once, before the first event
    // Events that come up while actions are carried out wait for their turn, so that the module sees them in
    // order.
    void post(Event event);
    double alpha() const {
        return brain_.alpha();
    }

private:
    void apply(const std::vector<Action>& actions);

    net::Loop& loop_;
    GatewayPolicy brain_;
    ActionHandler carry_out_;
    std::deque<Event> events_;
    bool posting_ = false;
    std::map<std::int64_t, net::TimerId> bells_;
    std::int64_t last_bell_ = 0;
};

}  // namespace gatetiller::core
