// The list of engines as a front node keeps it: by the name service's ids, in the order of the service's
// numbers (serial_tracker.hpp). What changed is handed to the module; what a good whole list no longer holds
// is gone.
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

struct DiscoveredEndpoint {
    std::string name;     // the service's id; never used for another engine
    std::string address;  // host:port; one that is gone may hand it on
    EndpointState state = EndpointState::ready;
    std::string zone, kind;
    std::int64_t cell = 0;
    double share = 1;
    Micros started_at = 0;  // wall clock, microseconds since 1970; 0: long ago
    friend bool operator==(const DiscoveredEndpoint&, const DiscoveredEndpoint&) = default;
};

class EndpointList {
public:
    // `follows_restarts`: see SerialTracker.
    explicit EndpointList(bool follows_restarts = true) : numbering_(follows_restarts) {}
    // A whole list with its number, heard at `now` while the wall clock stood at `wall`, asked for at
    // `asked`. Nothing where it tells nothing new. The first one is told as the copy of the start.
    //
    // A list of an older number, or of the number held with other content, is not taken at once: a service
    // may answer with an older list now and then. The engines that drain there, or are not there, count as
    // draining until the list held is heard again. It is taken once the same comes twice under the number
    // held, or once the numbering has started anew; what was draining or gone until then counts as draining
    // for some time after, as it may be a service that lags behind.
    //
    // The wall clock alone never makes a start old: an engine is no older than the last good list that lacked
    // its start, and one of the first list counts as new unless it looks hours old. It is older, though, by
    // what the list's latest start is later.
    std::optional<EndpointUpdate> take(std::uint64_t number, const std::vector<DiscoveredEndpoint>& list,
                                       Micros now, Micros wall, Micros asked);
    // The list of a configuration: taken where its number is newer.
    std::optional<EndpointUpdate> take(std::uint64_t number, const std::vector<DiscoveredEndpoint>& list,
                                       Micros now, Micros wall);
    // Whether the list of that number is the one held and nothing is in doubt, so that its content need not
    // be read again where the same answer has come again.
    bool confirm(std::uint64_t number, Micros now);
    std::uint64_t serial() const {
        return numbering_.current();
    }
    Micros confirmed_at() const {
        return heard_;
    }  // when the list held was last confirmed
    const std::map<EngineId, DiscoveredEndpoint>& endpoints() const {
        return engines_;
    }                                        // those not gone
    EndpointState state(EngineId id) const;  // off: gone, or never heard of

private:
    std::optional<EndpointUpdate> adopt(std::uint32_t number, const std::vector<DiscoveredEndpoint>& list,
                                        Micros now, Micros wall);
    std::optional<EndpointUpdate> mark_suspect(const std::vector<DiscoveredEndpoint>& list);
    std::optional<EndpointUpdate> clear_suspects();
    bool holds(const std::vector<DiscoveredEndpoint>& list) const;
    void suspect_all_drained(Micros now);
    std::vector<DiscoveredEndpoint> without_suspects(std::vector<DiscoveredEndpoint> list, Micros now);
    Endpoint entry(EngineId id, EndpointState state) const;
    Micros came_up(const DiscoveredEndpoint& e, Micros latest_start, Micros now, Micros wall) const;

    SerialTracker numbering_;
    Micros heard_ = 0;
    bool any_ = false;
    EngineId last_ = 0;
    std::map<std::string, EngineId> ids_;  // of those not gone
    std::map<EngineId, DiscoveredEndpoint> engines_;
    std::map<EngineId, Micros> came_up_;  // on the loop's clock, reckoned once for each start
    std::set<EngineId> doubted_;  // on by the list held, draining or gone by an answer that was not taken
    std::map<std::string, Micros> gone_;      // lately, and since when
    std::map<std::string, Micros> suspects_;  // that count as draining whatever a list says, and until when
    std::vector<DiscoveredEndpoint>
        other_;  // the last one that came under the number held with other content
};

}  // namespace gatetiller::decide
