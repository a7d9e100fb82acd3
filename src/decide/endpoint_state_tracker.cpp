#include "decide/endpoint_state_tracker.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

constexpr Micros kSameStart = 2 * kSecondMicros;  // two readings of one start differ by less: delay, rounding

}  // namespace

bool EndpointStateTracker::on_listed(const Endpoint& entry) {
    list_ = entry;
    return settle();
}

bool EndpointStateTracker::on_status_reported(Micros now, bool shutting_down, bool starting,
                                              std::optional<Micros> uptime) {
    if (uptime) {
        const Micros started = now - *uptime;
        if (started > came_up_ + kSameStart)
            came_up_ = std::max<Micros>(started, 1);
    }
    shutting_down_ = shutting_down, starting_ = starting, unheard_ = false;
    return settle();
}

bool EndpointStateTracker::await_status() {
    unheard_ = true;
    return settle();
}

bool EndpointStateTracker::on_status_unavailable() {
    unheard_ = false;
    return settle();
}

bool EndpointStateTracker::hold_in_slow_start(Micros now, Micros until, Micros warm_up) {
    held_ = now < until && entry_.started_at > 0 && now - entry_.started_at < warm_up;
    return settle();
}

bool EndpointStateTracker::settle() {
    Endpoint next = list_;
    next.started_at = std::max(list_.started_at, came_up_);
    // One that is still starting would turn everything away: as good as draining until it is ready.
    if (next.state == EndpointState::ready && (shutting_down_ || starting_ || unheard_ || held_))
        next.state = EndpointState::draining;
    const bool changed = next.id != entry_.id || next.state != entry_.state || next.zone != entry_.zone ||
                         next.kind != entry_.kind || next.cell != entry_.cell ||
                         next.started_at != entry_.started_at || next.share != entry_.share;
    entry_ = std::move(next);
    return changed;
}

}  // namespace gatetiller::decide
