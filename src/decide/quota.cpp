#include "decide/quota.hpp"

#include <algorithm>

namespace gatetiller::decide {

const char* name_of(QuotaState s) {
    static constexpr const char* kNames[] = {"within", "soft", "hard"};
    return kNames[static_cast<int>(s)];
}

Quota::Quota(QuotaSettings settings, std::vector<Budget> budgets)
    : settings_(settings), slot_(std::max<Micros>(1, settings.window / kSlots)) {
    const int fronts = std::max(1, settings.fronts);
    for (Budget& b : budgets) {
        b.soft_limit /= fronts;
        b.hard_limit /= fronts;
        teams_.push_back({std::move(b)});
    }
}

Quota::Team* Quota::find(const std::string& team) {
    const auto found = std::find_if(teams_.begin(), teams_.end(), [&](const Team& t) {
        return t.budget.team == team;
    });
    return found == teams_.end() ? nullptr : &*found;
}
const Quota::Team* Quota::find(const std::string& team) const {
    const auto found = std::find_if(teams_.begin(), teams_.end(), [&](const Team& t) {
        return t.budget.team == team;
    });
    return found == teams_.end() ? nullptr : &*found;
}

void Quota::expire_slots(Team& t, Micros now) const {
    const std::int64_t slot = slot_of(now);
    // After more than a window, each slot is cleared once.
    for (int i = 0; t.newest < slot && i < kSlots; ++i) {
        ++t.newest;
        Micros& old = t.slots[static_cast<std::size_t>(t.newest % kSlots)];
        t.sum -= old;
        old = 0;
    }
    t.newest = std::max(t.newest, slot);
}

void Quota::record_use(const std::string& team, Micros now, Micros work) {
    restore(team, now, 0, work);
}

void Quota::restore(const std::string& team, Micros now, Micros ago, Micros work) {
    Team* t = find(team);
    if (!t || work <= 0 || ago < 0)
        return;
    expire_slots(*t, now);
    // Counts slots back from now, as the monotonic clock may have started less than a window ago.
    const std::int64_t back = ago / slot_;
    if (back >= kSlots)
        return;
    t->slots[static_cast<std::size_t>(((t->newest - back) % kSlots + kSlots) % kSlots)] += work;
    t->sum += work;
}

QuotaState Quota::target_state(const Team& t) const {
    // The present state is left only once use is below exit_fraction of its budget.
    const auto over = [&](Micros budget, bool in_state) {
        if (budget <= 0)
            return false;
        const double at =
            in_state ? settings_.exit_fraction * static_cast<double>(budget) : static_cast<double>(budget);
        return static_cast<double>(t.sum) >= at;
    };
    if (over(t.budget.hard_limit, t.state == QuotaState::over_hard_limit))
        return QuotaState::over_hard_limit;
    if (over(t.budget.soft_limit, t.state != QuotaState::within_budget))
        return QuotaState::over_soft_limit;
    return QuotaState::within_budget;
}

void Quota::enter(Team& t, QuotaState state, Micros now) {
    t.state = state;
    t.since = now;
}

QuotaState Quota::state(const std::string& team, Micros now) {
    Team* t = find(team);
    if (!t)
        return QuotaState::within_budget;
    expire_slots(*t, now);
    const QuotaState next = target_state(*t);
    // The delay keeps the state of a team close to its budget from alternating.
    if (next > t->state || (next < t->state && now - t->since >= settings_.min_state_duration))
        enter(*t, next, now);
    return t->state;
}

Micros Quota::retry_after(const std::string& team, Micros now) const {
    const Team* t = find(team);
    if (!t || t->budget.hard_limit <= 0)
        return settings_.min_state_duration;
    const auto open_at =
        static_cast<Micros>(settings_.exit_fraction * static_cast<double>(t->budget.hard_limit));
    Micros sum = t->sum;
    Micros after = 0;
    for (std::int64_t slot = t->newest - kSlots + 1; slot <= t->newest && sum >= open_at; ++slot) {
        sum -= t->slots[static_cast<std::size_t>((slot % kSlots + kSlots) % kSlots)];
        after = (slot + kSlots) * slot_ - now;  // when the slot has left the window
    }
    return std::max(after, settings_.min_state_duration);
}

Micros Quota::usage(const std::string& team, Micros now) const {
    const Team* t = find(team);
    if (!t)
        return 0;
    Team copy = *t;
    expire_slots(copy, now);
    return copy.sum;
}

}  // namespace gatetiller::decide
