#include "core/policy_driver.hpp"

#include <utility>

namespace gatetiller::core {

PolicyDriver::PolicyDriver(net::Loop& loop, std::uint64_t seed, PolicySettings settings,
                           ActionHandler apply_action)
    : loop_(loop), policy_(loop.now(), seed, std::move(settings)), apply_action_(std::move(apply_action)) {}

PolicyDriver::~PolicyDriver() {
    for (const auto& [key, timer] : timers_)
        loop_.cancel(timer);
}

void PolicyDriver::start() {
    apply(policy_.start());
}

void PolicyDriver::post(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(handling_events_, true))
        return;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        apply(policy_.handle(loop_.now(), next));
    }
    handling_events_ = false;
}

void PolicyDriver::apply(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        const auto* timer = std::get_if<StartTimer>(&action);
        if (!timer) {
            apply_action_(action);
            continue;
        }
        const std::int64_t key = ++last_timer_key_;
        timers_[key] = loop_.after(timer->delay, [this, key, name = timer->timer] {
            timers_.erase(key);
            post(TimerFired{name});
        });
    }
}

}  // namespace gatetiller::core
