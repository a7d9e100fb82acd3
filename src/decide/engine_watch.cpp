#include "decide/engine_watch.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

constexpr Micros kSameStart = 2 * kSecondMicros;  // two readings of one start differ by less: delay, rounding

}  // namespace

bool EngineWatch::listed(const EngineEntry& entry) {
    list_ = entry;
    return settle();
}

bool EngineWatch::said(Micros now, bool shutting_down, bool starting, std::optional<Micros> uptime) {
    if (uptime) {
        const Micros started = now - *uptime;
        if (started > came_up_ + kSameStart)
            came_up_ = std::max<Micros>(started, 1);
    }
    shutting_down_ = shutting_down, starting_ = starting, unheard_ = false;
    return settle();
}

bool EngineWatch::will_be_asked() {
    unheard_ = true;
    return settle();
}

bool EngineWatch::could_not_be_asked() {
    unheard_ = false;
    return settle();
}

bool EngineWatch::hold_while_cold(Micros now, Micros until, Micros warm_up) {
    held_ = now < until && entry_.came_up > 0 && now - entry_.came_up < warm_up;
    return settle();
}

bool EngineWatch::settle() {
    EngineEntry next = list_;
    next.came_up = std::max(list_.came_up, came_up_);
    // One that is still starting would turn everything away: as good as draining until it is ready.
    if (next.state == EngineState::on && (shutting_down_ || starting_ || unheard_ || held_))
        next.state = EngineState::fading;
    const bool changed = next.id != entry_.id || next.state != entry_.state || next.zone != entry_.zone ||
                         next.kind != entry_.kind || next.cell != entry_.cell ||
                         next.came_up != entry_.came_up || next.share != entry_.share;
    entry_ = std::move(next);
    return changed;
}

}  // namespace gatetiller::decide
