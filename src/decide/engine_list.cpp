#include "decide/engine_list.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::decide {

namespace {

// A wall clock may be off by an hour when the process starts: an engine that looks older than this is not
// young.
constexpr Micros kTrustedAge = 2 * 3'600 * kSecondMicros;

// After a numbering has started anew: what drained or went so shortly before counts as draining for so long.
constexpr Micros kGoneLately = 60 * kSecondMicros;
constexpr Micros kSuspectFor = 10 * kSecondMicros;

}  // namespace

Micros EngineList::came_up(const ListedEngine& e, Micros latest_start, Micros now, Micros wall) const {
    if (e.started <= 0)
        return 0;
    // Both starts are told by the platform's clock, and the list is no older than the later one.
    const Micros at_latest = now - (latest_start - e.started);
    const Micros by_wall = now - std::max<Micros>(0, wall - e.started);
    const bool first_list = !any_;
    const bool old_by_wall = now - by_wall >= kTrustedAge;
    Micros estimate = first_list && !old_by_wall ? now : by_wall;
    if (!first_list)
        estimate = std::max(estimate, heard_);
    return std::max<Micros>(1, std::min(estimate, at_latest));
}

std::optional<ListChange> EngineList::take(std::uint64_t number, const std::vector<ListedEngine>& heard,
                                           Micros now, Micros wall, Micros asked) {
    const auto serial = static_cast<std::uint32_t>(number);
    const auto verdict = numbering_.judge(serial, asked, now);
    if (verdict == ListVerdict::restarted)
        suspect_all_drained(now);
    const auto list = without_suspects(heard, now);
    switch (verdict) {
        case ListVerdict::newer:
        case ListVerdict::restarted:
            return adopt(serial, list, now, wall);
        case ListVerdict::outdated:
            return std::nullopt;
        case ListVerdict::older:
            return doubt(list);
        case ListVerdict::held:
            break;
    }
    heard_ = now;
    if (holds(list))
        return settle();
    if (list == other_)
        return adopt(serial, list, now, wall);
    other_ = list;
    return doubt(list);
}

std::optional<ListChange> EngineList::take(std::uint64_t number, const std::vector<ListedEngine>& list,
                                           Micros now, Micros wall) {
    const auto serial = static_cast<std::uint32_t>(number);
    if (!numbering_.newer(serial))
        return std::nullopt;
    return adopt(serial, list, now, wall);
}

bool EngineList::confirm(std::uint64_t number, Micros now) {
    const bool held = any_ && static_cast<std::uint32_t>(number) == numbering_.held();
    if (!held || !doubted_.empty() || !other_.empty() || !suspects_.empty())
        return false;
    (void)numbering_.judge(numbering_.held(), now, now);
    heard_ = now;
    return true;
}

void EngineList::suspect_all_drained(Micros now) {
    std::erase_if(gone_, [&](const auto& gone) {
        return gone.second < now - kGoneLately;
    });
    for (const auto& [name, since] : gone_)
        suspects_[name] = now + kSuspectFor;
    for (const auto& [id, e] : engines_)
        if (e.state != EngineState::on)
            suspects_[e.name] = now + kSuspectFor;
}

std::vector<ListedEngine> EngineList::without_suspects(std::vector<ListedEngine> list, Micros now) {
    std::erase_if(suspects_, [&](const auto& suspect) {
        return suspect.second <= now;
    });
    for (ListedEngine& e : list)
        if (suspects_.contains(e.name) && e.state == EngineState::on)
            e.state = EngineState::fading;
    return list;
}

EngineState EngineList::state(EngineId id) const {
    const auto found = engines_.find(id);
    if (found == engines_.end())
        return EngineState::off;
    return doubted_.contains(id) ? EngineState::fading : found->second.state;
}

bool EngineList::holds(const std::vector<ListedEngine>& list) const {
    if (list.size() != engines_.size())
        return false;
    return std::all_of(list.begin(), list.end(), [&](const ListedEngine& e) {
        const auto id = ids_.find(e.name);
        return id != ids_.end() && engines_.at(id->second) == e;
    });
}

EngineEntry EngineList::entry(EngineId id, EngineState state) const {
    const ListedEngine& e = engines_.at(id);
    return {id, state, e.zone, e.kind, e.cell, came_up_.at(id), e.share};
}

// Only what makes the front more careful: what drains there, or is not there.
std::optional<ListChange> EngineList::doubt(const std::vector<ListedEngine>& list) {
    std::set<std::string> on;
    for (const ListedEngine& e : list)
        if (e.state == EngineState::on)
            on.insert(e.name);
    ListChange change;
    change.form = ListForm::incr;
    for (const auto& [id, e] : engines_) {
        if (on.contains(e.name) || state(id) != EngineState::on)
            continue;
        doubted_.insert(id);
        change.engines.push_back(entry(id, EngineState::fading));
    }
    if (change.engines.empty())
        return std::nullopt;
    return change;
}

// The list held came again.
std::optional<ListChange> EngineList::settle() {
    ListChange change;
    change.form = ListForm::incr;
    other_.clear();
    for (const EngineId id : std::exchange(doubted_, {}))
        change.engines.push_back(entry(id, engines_.at(id).state));
    if (change.engines.empty())
        return std::nullopt;
    return change;
}

std::optional<ListChange> EngineList::adopt(std::uint32_t number, const std::vector<ListedEngine>& list,
                                            Micros now, Micros wall) {
    ListChange change;
    change.form = any_ ? ListForm::incr : ListForm::warm_copy;
    numbering_.hold(number, now);
    const auto doubted = std::exchange(doubted_, {});
    other_.clear();
    Micros latest_start = 0;
    for (const ListedEngine& e : list)
        latest_start = std::max(latest_start, e.started);
    std::map<std::string, EngineId> ids;
    for (const ListedEngine& e : list) {
        if (ids.contains(e.name))
            continue;  // one name twice: the first counts
        const auto known = ids_.find(e.name);
        const EngineId id = known != ids_.end() ? known->second : ++last_;
        ids.emplace(e.name, id);
        ListedEngine& held = engines_[id];
        if (known != ids_.end() && held == e && !doubted.contains(id))
            continue;
        // A start counts by the clocks of the moment it is first heard of: a later step of the wall clock
        // must not make an engine colder or warmer.
        if (known == ids_.end() || held.started != e.started)
            came_up_[id] = came_up(e, latest_start, now, wall);
        held = e;
        change.engines.push_back(entry(id, e.state));
    }
    for (const auto& [name, id] : ids_) {
        if (ids.contains(name))
            continue;
        change.engines.push_back(entry(id, EngineState::off));
        gone_[name] = now;
        engines_.erase(id), came_up_.erase(id);
    }
    std::erase_if(gone_, [&](const auto& gone) {
        return gone.second < now - kGoneLately;
    });
    ids_ = std::move(ids);
    any_ = true;
    heard_ = now;
    if (change.engines.empty() && change.form == ListForm::incr)
        return std::nullopt;
    return change;
}

}  // namespace gatetiller::decide
