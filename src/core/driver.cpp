#include "core/driver.hpp"

#include <utility>

namespace gatetiller::core {

Driver::Driver(net::Loop& loop, std::uint64_t seed, Settings settings, CarryOut carry_out)
    : loop_(loop), brain_(loop.now(), seed, std::move(settings)), carry_out_(std::move(carry_out)) {}

Driver::~Driver() {
    for (const auto& [key, timer] : bells_)
        loop_.cancel(timer);
}

void Driver::start() {
    take(brain_.start());
}

void Driver::post(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(posting_, true))
        return;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        take(brain_.handle(loop_.now(), next));
    }
    posting_ = false;
}

void Driver::take(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        const auto* timer = std::get_if<SetTimer>(&action);
        if (!timer) {
            carry_out_(action);
            continue;
        }
        const std::int64_t key = ++last_bell_;
        bells_[key] = loop_.after(timer->delay, [this, key, name = timer->name] {
            bells_.erase(key);
            post(Bell{name});
        });
    }
}

}  // namespace gatetiller::core
