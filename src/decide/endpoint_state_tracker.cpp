#include "decide/endpoint_state_tracker.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::decide {
namespace {

// Two reports of the same start differ by less than this, because of rounding and transmission delay.
constexpr Micros kStartTolerance = 2 * kSecondMicros;

bool differs(const Endpoint& left, const Endpoint& right) {
    return left.id != right.id || left.state != right.state || left.zone != right.zone ||
           left.kind != right.kind || left.cell != right.cell || left.started_at != right.started_at ||
           left.share != right.share;
}

}  // namespace

bool EndpointStateTracker::on_listed(const Endpoint& entry) {
    listed_ = entry;
    return update_reported();
}

bool EndpointStateTracker::on_status_reported(Micros now, std::optional<bool> shutting_down, bool starting,
                                              std::optional<Micros> uptime) {
    if (uptime) {
        const Micros started_at = now - *uptime;
        if (started_at > process_started_at_ + kStartTolerance)
            process_started_at_ = std::max<Micros>(started_at, 1);
    }
    shutting_down_ = shutting_down.value_or(shutting_down_);
    starting_ = starting;
    awaits_status_ = false;
    return update_reported();
}

bool EndpointStateTracker::await_status() {
    awaits_status_ = true;
    return update_reported();
}

bool EndpointStateTracker::on_status_unavailable() {
    awaits_status_ = false;
    return update_reported();
}

bool EndpointStateTracker::hold_in_slow_start(Micros now, Micros until, Micros slow_start_window) {
    const bool in_slow_start = reported_.started_at > 0 && now - reported_.started_at < slow_start_window;
    slow_start_hold_ = now < until && in_slow_start;
    return update_reported();
}

bool EndpointStateTracker::is_restricted() const {
    return shutting_down_ || starting_ || awaits_status_ || slow_start_hold_;
}

bool EndpointStateTracker::update_reported() {
    Endpoint next = listed_;
    next.started_at = std::max(listed_.started_at, process_started_at_);
    if (next.state == EndpointState::ready && is_restricted())
        next.state = EndpointState::draining;
    const bool changed = differs(next, reported_);
    reported_ = std::move(next);
    return changed;
}

}  // namespace gatetiller::decide
