#include "core/policy_driver.hpp"

#include <utility>

namespace gatetiller::core {

PolicyDriver::PolicyDriver(net::Loop& loop, std::uint64_t seed, PolicySettings settings,
                           ActionHandler carry_out)
    : loop_(loop), brain_(loop.now(), seed, std::move(settings)), carry_out_(std::move(carry_out)) {}

PolicyDriver::~PolicyDriver() {
    for (const auto& [key, timer] : bells_)
        loop_.cancel(timer);
}

void PolicyDriver::start() {
    apply(brain_.start());
}

void PolicyDriver::post(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(posting_, true))
        return;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        apply(brain_.handle(loop_.now(), next));
    }
    posting_ = false;
}

void PolicyDriver::apply(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        const auto* timer = std::get_if<StartTimer>(&action);
        if (!timer) {
            carry_out_(action);
            continue;
        }
        const std::int64_t key = ++last_bell_;
        bells_[key] = loop_.after(timer->delay, [this, key, name = timer->timer] {
            bells_.erase(key);
            post(TimerFired{name});
        });
    }
}

}  // namespace gatetiller::core
