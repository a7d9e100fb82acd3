// core: what stands between any front and the module. Events go in, one at a time and in order; timers that
// the module sets are kept; every other action goes to the front, which carries it out. Both fronts use it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "net/loop.hpp"
#include "policy/brain.hpp"

namespace gatetiller::core {

class Driver {
public:
    using CarryOut = std::function<void(const Action&)>;  // never a SetTimer
    // Settings that contradict themselves throw std::invalid_argument, as the module's constructor does.
    Driver(net::Loop& loop, std::uint64_t seed, Settings settings, CarryOut carry_out);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    void start();  // the module's actions at the start; once, before the first event
    // Events that come up while actions are carried out wait for their turn, so that the module sees them in
    // order.
    void post(Event event);
    double alpha() const {
        return brain_.alpha();
    }

private:
    void take(const std::vector<Action>& actions);

    net::Loop& loop_;
    Brain brain_;
    CarryOut carry_out_;
    std::deque<Event> events_;
    bool posting_ = false;
    std::map<std::int64_t, net::TimerId> bells_;
    std::int64_t last_bell_ = 0;
};

}  // namespace gatetiller::core
