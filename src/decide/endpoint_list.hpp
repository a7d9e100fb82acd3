// The endpoint list of a front node: the engines, their states and their start times.
//
// A discovery source returns complete lists, each with a serial (serial_tracker.hpp). EndpointList decides
// which response becomes the accepted list, assigns an EngineId to each name of the source, and returns the
// difference as an EndpointUpdate for the policy.
//
// Rules:
// - A newer list is accepted. An endpoint that it lacks is removed.
// - A response that is older, or has the accepted serial with other content, is not accepted at once, as a
//   source may occasionally return an outdated list. Until the accepted list is confirmed, endpoints that the
//   response lacks or has as draining are reported as draining (suspects). Other content with the accepted
//   serial is accepted when the same content arrives twice in a row.
// - Once the numbering has restarted, the response is accepted. Endpoints that were draining then, or were
//   removed within the last 60 s, are reported as draining for 10 s more, as the source may only be lagging
//   behind.
// - A start time is converted to the monotonic clock once, when it first appears (estimate_start() below).
//   The wall clock alone never makes an engine old: an engine is no older than the last confirmation of a
//   list without that start; in the first list it counts as just started unless it appears to be at least
//   two hours old; and it is always older than the list's latest start by the difference of the two.
//
// Invariants: an EngineId belongs to one name while the name is listed, and is never reused; an address may
// pass from one name to another. Times are microseconds: `now` of the monotonic clock, `wall` of
// the wall clock since 1970, both read at the same moment.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/serial_tracker.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// One entry of a discovery source's list.
struct DiscoveredEndpoint {
    // The source's identifier, which is never given to another engine.
    std::string name;
    // host:port. That of a removed endpoint may be given to another.
    std::string address;
    EndpointState state = EndpointState::ready;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    // Share of the engine's capacity, passed on to the policy as Endpoint::share.
    double share = 1;
    // Wall clock, microseconds since 1970; 0: unknown, which counts as long ago.
    Micros started_at = 0;
    friend bool operator==(const DiscoveredEndpoint&, const DiscoveredEndpoint&) = default;
};

class EndpointList {
public:
    // `follows_restarts`: see SerialTracker.
    explicit EndpointList(bool follows_restarts = true) : serials_(follows_restarts) {}

    // Applies a response of a discovery source: the complete `list` with its serial `number`, requested at
    // `requested_at` and received at `now`. Returns what changes for the policy, or nothing; the first
    // accepted list is an update of kind `cached`, every other one `incremental`.
    std::optional<EndpointUpdate> apply(std::uint64_t number, const std::vector<DiscoveredEndpoint>& list,
                                        Micros now, Micros wall, Micros requested_at);
    // Applies the list of a configuration: accepted where its serial is newer, ignored otherwise.
    std::optional<EndpointUpdate> apply(std::uint64_t number, const std::vector<DiscoveredEndpoint>& list,
                                        Micros now, Micros wall);
    // Confirms the accepted list by a response of which only the serial was read. False where its content
    // must be applied by apply(): the serial is another one, or some endpoint is suspect.
    bool confirm(std::uint64_t number, Micros now);

    // The serial of the accepted list; 0 where there is none.
    std::uint64_t serial() const {
        return serials_.current();
    }
    // When the accepted list was last received; 0 where there is none.
    Micros confirmed_at() const {
        return confirmed_at_;
    }
    // The endpoints of the accepted list.
    const std::map<EngineId, DiscoveredEndpoint>& endpoints() const {
        return endpoints_;
    }
    // The state that was reported to the policy; `removed` for an id that is not listed.
    EndpointState state(EngineId id) const;

private:
    std::optional<EndpointUpdate> accept(std::uint32_t serial, const std::vector<DiscoveredEndpoint>& list,
                                         Micros now, Micros wall);
    void upsert_listed(const std::vector<DiscoveredEndpoint>& list, const std::set<EngineId>& was_suspect,
                       Micros now, Micros wall, EndpointUpdate& update);
    void remove_unlisted(const std::vector<DiscoveredEndpoint>& list, Micros now, EndpointUpdate& update);
    std::optional<EndpointUpdate> mark_suspects(const std::vector<DiscoveredEndpoint>& list);
    std::optional<EndpointUpdate> clear_suspects();
    bool is_accepted_list(const std::vector<DiscoveredEndpoint>& list) const;
    void force_draining_after_restart(Micros now);
    std::vector<DiscoveredEndpoint> with_forced_draining(std::vector<DiscoveredEndpoint> list, Micros now);
    void forget_old_removals(Micros now);
    Endpoint policy_entry(EngineId id, EndpointState state) const;
    Micros estimate_start(Micros started_at, Micros latest_start, Micros now, Micros wall) const;

    SerialTracker serials_;
    Micros confirmed_at_ = 0;
    bool has_list_ = false;
    EngineId last_id_ = 0;
    // The accepted list: ids by name, and by id the entry and its start on the monotonic clock.
    std::map<std::string, EngineId> ids_;
    std::map<EngineId, DiscoveredEndpoint> endpoints_;
    std::map<EngineId, Micros> started_at_;
    // Endpoints that are ready in the accepted list and reported as draining because of another response.
    std::set<EngineId> suspects_;
    // The last response with the accepted serial and other content; empty: none since the list was confirmed.
    std::vector<DiscoveredEndpoint> conflicting_list_;
    // Names that were removed within the last 60 s, and when.
    std::map<std::string, Micros> removed_at_;
    // Names that are draining whatever a response contains, and until when.
    std::map<std::string, Micros> forced_draining_until_;
};

}  // namespace gatetiller::decide
