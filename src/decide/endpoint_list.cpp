#include "decide/endpoint_list.hpp"

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

Micros EndpointList::came_up(const DiscoveredEndpoint& e, Micros latest_start, Micros now,
                             Micros wall) const {
    if (e.started_at <= 0)
        return 0;
    // Both starts are told by the platform's clock, and the list is no older than the later one.
    const Micros at_latest = now - (latest_start - e.started_at);
    const Micros by_wall = now - std::max<Micros>(0, wall - e.started_at);
    const bool first_list = !any_;
    const bool old_by_wall = now - by_wall >= kTrustedAge;
    Micros estimate = first_list && !old_by_wall ? now : by_wall;
    if (!first_list)
        estimate = std::max(estimate, heard_);
    return std::max<Micros>(1, std::min(estimate, at_latest));
}

std::optional<EndpointUpdate> EndpointList::take(std::uint64_t number,
                                                 const std::vector<DiscoveredEndpoint>& heard, Micros now,
                                                 Micros wall, Micros asked) {
    const auto serial = static_cast<std::uint32_t>(number);
    const auto verdict = numbering_.classify(serial, asked, now);
    if (verdict == UpdateVerdict::restarted)
        suspect_all_drained(now);
    const auto list = without_suspects(heard, now);
    switch (verdict) {
        case UpdateVerdict::newer:
        case UpdateVerdict::restarted:
            return adopt(serial, list, now, wall);
        case UpdateVerdict::outdated:
            return std::nullopt;
        case UpdateVerdict::older:
            return mark_suspect(list);
        case UpdateVerdict::current:
            break;
    }
    heard_ = now;
    if (holds(list))
        return clear_suspects();
    if (list == other_)
        return adopt(serial, list, now, wall);
    other_ = list;
    return mark_suspect(list);
}

std::optional<EndpointUpdate> EndpointList::take(std::uint64_t number,
                                                 const std::vector<DiscoveredEndpoint>& list, Micros now,
                                                 Micros wall) {
    const auto serial = static_cast<std::uint32_t>(number);
    if (!numbering_.advances(serial))
        return std::nullopt;
    return adopt(serial, list, now, wall);
}

bool EndpointList::confirm(std::uint64_t number, Micros now) {
    const bool held = any_ && static_cast<std::uint32_t>(number) == numbering_.current();
    if (!held || !doubted_.empty() || !other_.empty() || !suspects_.empty())
        return false;
    (void)numbering_.classify(numbering_.current(), now, now);
    heard_ = now;
    return true;
}

void EndpointList::suspect_all_drained(Micros now) {
    std::erase_if(gone_, [&](const auto& gone) {
        return gone.second < now - kGoneLately;
    });
    for (const auto& [name, since] : gone_)
        suspects_[name] = now + kSuspectFor;
    for (const auto& [id, e] : engines_)
        if (e.state != EndpointState::ready)
            suspects_[e.name] = now + kSuspectFor;
}

std::vector<DiscoveredEndpoint> EndpointList::without_suspects(std::vector<DiscoveredEndpoint> list,
                                                               Micros now) {
    std::erase_if(suspects_, [&](const auto& suspect) {
        return suspect.second <= now;
    });
    for (DiscoveredEndpoint& e : list)
        if (suspects_.contains(e.name) && e.state == EndpointState::ready)
            e.state = EndpointState::draining;
    return list;
}

EndpointState EndpointList::state(EngineId id) const {
    const auto found = engines_.find(id);
    if (found == engines_.end())
        return EndpointState::removed;
    return doubted_.contains(id) ? EndpointState::draining : found->second.state;
}

bool EndpointList::holds(const std::vector<DiscoveredEndpoint>& list) const {
    if (list.size() != engines_.size())
        return false;
    return std::all_of(list.begin(), list.end(), [&](const DiscoveredEndpoint& e) {
        const auto id = ids_.find(e.name);
        return id != ids_.end() && engines_.at(id->second) == e;
    });
}

Endpoint EndpointList::entry(EngineId id, EndpointState state) const {
    const DiscoveredEndpoint& e = engines_.at(id);
    return {id, state, e.zone, e.kind, e.cell, came_up_.at(id), e.share};
}

// Only what makes the front more careful: what drains there, or is not there.
std::optional<EndpointUpdate> EndpointList::mark_suspect(const std::vector<DiscoveredEndpoint>& list) {
    std::set<std::string> on;
    for (const DiscoveredEndpoint& e : list)
        if (e.state == EndpointState::ready)
            on.insert(e.name);
    EndpointUpdate change;
    change.kind = EndpointUpdateKind::incremental;
    for (const auto& [id, e] : engines_) {
        if (on.contains(e.name) || state(id) != EndpointState::ready)
            continue;
        doubted_.insert(id);
        change.endpoints.push_back(entry(id, EndpointState::draining));
    }
    if (change.endpoints.empty())
        return std::nullopt;
    return change;
}

// The list held came again.
std::optional<EndpointUpdate> EndpointList::clear_suspects() {
    EndpointUpdate change;
    change.kind = EndpointUpdateKind::incremental;
    other_.clear();
    for (const EngineId id : std::exchange(doubted_, {}))
        change.endpoints.push_back(entry(id, engines_.at(id).state));
    if (change.endpoints.empty())
        return std::nullopt;
    return change;
}

std::optional<EndpointUpdate> EndpointList::adopt(std::uint32_t number,
                                                  const std::vector<DiscoveredEndpoint>& list, Micros now,
                                                  Micros wall) {
    EndpointUpdate change;
    change.kind = any_ ? EndpointUpdateKind::incremental : EndpointUpdateKind::cached;
    numbering_.accept(number, now);
    const auto doubted = std::exchange(doubted_, {});
    other_.clear();
    Micros latest_start = 0;
    for (const DiscoveredEndpoint& e : list)
        latest_start = std::max(latest_start, e.started_at);
    std::map<std::string, EngineId> ids;
    for (const DiscoveredEndpoint& e : list) {
        if (ids.contains(e.name))
            continue;  // one name twice: the first counts
        const auto known = ids_.find(e.name);
        const EngineId id = known != ids_.end() ? known->second : ++last_;
        ids.emplace(e.name, id);
        DiscoveredEndpoint& held = engines_[id];
        if (known != ids_.end() && held == e && !doubted.contains(id))
            continue;
        // A start counts by the clocks of the moment it is first heard of: a later step of the wall clock
        // must not make an engine colder or warmer.
        if (known == ids_.end() || held.started_at != e.started_at)
            came_up_[id] = came_up(e, latest_start, now, wall);
        held = e;
        change.endpoints.push_back(entry(id, e.state));
    }
    for (const auto& [name, id] : ids_) {
        if (ids.contains(name))
            continue;
        change.endpoints.push_back(entry(id, EndpointState::removed));
        gone_[name] = now;
        engines_.erase(id), came_up_.erase(id);
    }
    std::erase_if(gone_, [&](const auto& gone) {
        return gone.second < now - kGoneLately;
    });
    ids_ = std::move(ids);
    any_ = true;
    heard_ = now;
    if (change.endpoints.empty() && change.kind == EndpointUpdateKind::incremental)
        return std::nullopt;
    return change;
}

}  // namespace gatetiller::decide
