#include "decide/endpoint_list.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::decide {

namespace {

// An engine of the first list that appears to be younger may have started just now: the wall clock may be
// wrong by an hour when this process starts.
constexpr Micros kTrustedAge = Micros{2} * 3'600 * kSecondMicros;

// After a restart of the numbering, endpoints that were removed within kRecentRemoval are reported as
// draining for kForcedDraining.
constexpr Micros kRecentRemoval = 60 * kSecondMicros;
constexpr Micros kForcedDraining = 10 * kSecondMicros;

std::optional<EndpointUpdate> unless_empty(EndpointUpdate update) {
    if (update.endpoints.empty() && update.kind == EndpointUpdateKind::incremental)
        return std::nullopt;
    return update;
}

EndpointUpdate incremental_update() {
    EndpointUpdate update;
    update.kind = EndpointUpdateKind::incremental;
    return update;
}

Micros latest_start_of(const std::vector<DiscoveredEndpoint>& list) {
    Micros latest_start = 0;
    for (const DiscoveredEndpoint& endpoint : list)
        latest_start = std::max(latest_start, endpoint.started_at);
    return latest_start;
}

}  // namespace

std::optional<EndpointUpdate> EndpointList::apply(std::uint64_t number,
                                                  const std::vector<DiscoveredEndpoint>& list, Micros now,
                                                  Micros wall, Micros requested_at) {
    const auto serial = static_cast<std::uint32_t>(number);
    const auto verdict = serials_.classify(serial, requested_at, now);
    if (verdict == UpdateVerdict::restarted)
        force_draining_after_restart(now);
    const auto effective = with_forced_draining(list, now);
    switch (verdict) {
        case UpdateVerdict::newer:
        case UpdateVerdict::restarted:
            return accept(serial, effective, now, wall);
        case UpdateVerdict::outdated:
            return std::nullopt;
        case UpdateVerdict::older:
            return mark_suspects(effective);
        case UpdateVerdict::current:
            break;
    }
    confirmed_at_ = now;
    if (is_accepted_list(effective))
        return clear_suspects();
    if (effective == conflicting_list_)
        return accept(serial, effective, now, wall);
    conflicting_list_ = effective;
    return mark_suspects(effective);
}

std::optional<EndpointUpdate> EndpointList::apply(std::uint64_t number,
                                                  const std::vector<DiscoveredEndpoint>& list, Micros now,
                                                  Micros wall) {
    const auto serial = static_cast<std::uint32_t>(number);
    if (!serials_.advances(serial))
        return std::nullopt;
    return accept(serial, list, now, wall);
}

bool EndpointList::confirm(std::uint64_t number, Micros now) {
    const bool is_current = has_list_ && static_cast<std::uint32_t>(number) == serials_.current();
    const bool is_settled = suspects_.empty() && conflicting_list_.empty() && forced_draining_until_.empty();
    if (!is_current || !is_settled)
        return false;
    (void)serials_.classify(serials_.current(), now, now);
    confirmed_at_ = now;
    return true;
}

EndpointState EndpointList::state(EngineId id) const {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return EndpointState::removed;
    return suspects_.contains(id) ? EndpointState::draining : found->second.state;
}

std::optional<EndpointUpdate> EndpointList::accept(std::uint32_t serial,
                                                   const std::vector<DiscoveredEndpoint>& list, Micros now,
                                                   Micros wall) {
    EndpointUpdate update;
    update.kind = has_list_ ? EndpointUpdateKind::incremental : EndpointUpdateKind::cached;
    serials_.accept(serial, now);
    conflicting_list_.clear();
    const auto was_suspect = std::exchange(suspects_, {});
    upsert_listed(list, was_suspect, now, wall, update);
    remove_unlisted(list, now, update);
    forget_old_removals(now);
    has_list_ = true;
    confirmed_at_ = now;
    return unless_empty(std::move(update));
}

// Adds and changes endpoints according to the list, and adds those to `update` that differ from what was
// reported to the policy.
void EndpointList::upsert_listed(const std::vector<DiscoveredEndpoint>& list,
                                 const std::set<EngineId>& was_suspect, Micros now, Micros wall,
                                 EndpointUpdate& update) {
    const Micros latest_start = latest_start_of(list);
    std::set<std::string> seen;
    for (const DiscoveredEndpoint& endpoint : list) {
        // Of two entries with one name the first counts.
        if (!seen.insert(endpoint.name).second)
            continue;
        const auto [known, is_new] = ids_.try_emplace(endpoint.name, last_id_ + 1);
        if (is_new)
            ++last_id_;
        const EngineId id = known->second;
        DiscoveredEndpoint& accepted = endpoints_[id];
        if (!is_new && accepted == endpoint && !was_suspect.contains(id))
            continue;
        // A start is converted once: a later step of the wall clock must not change an engine's age.
        if (is_new || accepted.started_at != endpoint.started_at)
            started_at_[id] = estimate_start(endpoint.started_at, latest_start, now, wall);
        accepted = endpoint;
        update.endpoints.push_back(policy_entry(id, endpoint.state));
    }
}

void EndpointList::remove_unlisted(const std::vector<DiscoveredEndpoint>& list, Micros now,
                                   EndpointUpdate& update) {
    std::set<std::string> listed;
    for (const DiscoveredEndpoint& endpoint : list)
        listed.insert(endpoint.name);
    for (auto known = ids_.begin(); known != ids_.end();) {
        const auto& [name, id] = *known;
        if (listed.contains(name)) {
            ++known;
            continue;
        }
        update.endpoints.push_back(policy_entry(id, EndpointState::removed));
        removed_at_[name] = now;
        endpoints_.erase(id);
        started_at_.erase(id);
        known = ids_.erase(known);
    }
}

// Reports endpoints as draining that are ready in the accepted list and not in `list`: a response that is not
// accepted may withdraw an endpoint, but neither add nor remove one.
std::optional<EndpointUpdate> EndpointList::mark_suspects(const std::vector<DiscoveredEndpoint>& list) {
    std::set<std::string> ready;
    for (const DiscoveredEndpoint& endpoint : list)
        if (endpoint.state == EndpointState::ready)
            ready.insert(endpoint.name);
    EndpointUpdate update = incremental_update();
    for (const auto& [id, endpoint] : endpoints_) {
        if (ready.contains(endpoint.name) || state(id) != EndpointState::ready)
            continue;
        suspects_.insert(id);
        update.endpoints.push_back(policy_entry(id, EndpointState::draining));
    }
    return unless_empty(std::move(update));
}

// Reports suspects with their states in the accepted list, which has been confirmed.
std::optional<EndpointUpdate> EndpointList::clear_suspects() {
    conflicting_list_.clear();
    EndpointUpdate update = incremental_update();
    for (const EngineId id : std::exchange(suspects_, {}))
        update.endpoints.push_back(policy_entry(id, endpoints_.at(id).state));
    return unless_empty(std::move(update));
}

bool EndpointList::is_accepted_list(const std::vector<DiscoveredEndpoint>& list) const {
    if (list.size() != endpoints_.size())
        return false;
    return std::all_of(list.begin(), list.end(), [&](const DiscoveredEndpoint& endpoint) {
        const auto known = ids_.find(endpoint.name);
        return known != ids_.end() && endpoints_.at(known->second) == endpoint;
    });
}

void EndpointList::force_draining_after_restart(Micros now) {
    forget_old_removals(now);
    for (const auto& [name, removed_at] : removed_at_)
        forced_draining_until_[name] = now + kForcedDraining;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.state != EndpointState::ready)
            forced_draining_until_[endpoint.name] = now + kForcedDraining;
}

std::vector<DiscoveredEndpoint> EndpointList::with_forced_draining(std::vector<DiscoveredEndpoint> list,
                                                                   Micros now) {
    std::erase_if(forced_draining_until_, [&](const auto& forced) {
        return forced.second <= now;
    });
    for (DiscoveredEndpoint& endpoint : list)
        if (endpoint.state == EndpointState::ready && forced_draining_until_.contains(endpoint.name))
            endpoint.state = EndpointState::draining;
    return list;
}

void EndpointList::forget_old_removals(Micros now) {
    std::erase_if(removed_at_, [&](const auto& removal) {
        return removal.second < now - kRecentRemoval;
    });
}

Endpoint EndpointList::policy_entry(EngineId id, EndpointState state) const {
    const DiscoveredEndpoint& endpoint = endpoints_.at(id);
    return {id, state, endpoint.zone, endpoint.kind, endpoint.cell, started_at_.at(id), endpoint.share};
}

// Converts a start from the wall clock to the monotonic clock; 0 where it is unknown. `latest_start`: the
// latest of the same list, which is no later than `now` and was read from the same clock.
Micros EndpointList::estimate_start(Micros started_at, Micros latest_start, Micros now, Micros wall) const {
    if (started_at <= 0)
        return 0;
    const Micros latest_possible = now - (latest_start - started_at);
    const Micros by_wall_clock = now - std::max<Micros>(0, wall - started_at);
    const bool is_first_list = !has_list_;
    const bool looks_old = now - by_wall_clock >= kTrustedAge;
    Micros estimate = is_first_list && !looks_old ? now : by_wall_clock;
    if (!is_first_list)
        estimate = std::max(estimate, confirmed_at_);
    return std::max<Micros>(1, std::min(estimate, latest_possible));
}

}  // namespace gatetiller::decide
