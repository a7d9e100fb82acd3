// The engines known to a front node and the connections to each. Applies updates of the endpoint list, resets
// connections whose pending requests must not begin at a draining engine, and counts the attempts that slow
// start limits.
//
// Invariant: the policy receives an update before any attempt ends because of it, so that those attempts are
// retried with the new list.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/attempt_guard.hpp"
#include "decide/endpoint_list.hpp"
#include "decide/resource_limits.hpp"
#include "discovery/dns_endpoint_source.hpp"
#include "net/loop.hpp"
#include "node/config.hpp"
#include "node/engine_connections.hpp"
#include "node/node_deps.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

// Timestamps are on the loop's clock, in microseconds.
struct RegisteredEngine {
    std::string name;
    std::string address;
    std::unique_ptr<EngineConnections> connections;  // null: no usable address is known
    std::size_t in_flight = 0;                       // attempts whose end has not been posted to the policy
    bool listed = true;                              // if false, removed once no attempt is in flight
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
    Micros started_at = 0;                // 0: long ago
    Micros draining_since = 0;            // when this node was notified; 0: not draining
    bool discard_pending = false;         // draining, with unacknowledged bytes not yet discarded
    std::deque<Micros> slow_start_sends;  // send times of slow-start attempts within the overload window
};

class EndpointRegistry {
public:
    struct Events {
        // Passes an update to the policy.
        std::function<void(EndpointUpdate)> on_update;
        // Called after the policy has received the update: unsent attempts at engines that are not ready must
        // be withdrawn.
        std::function<void()> on_applied;
    };

    // All references must outlive the registry. `settings` and `limits` may change during its lifetime.
    EndpointRegistry(net::Loop& loop, const NodeSettings& settings, const decide::ResourceLimits& limits,
                     const NodeDeps& deps, Events events);
    ~EndpointRegistry();
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    // ---- Updates of the endpoint list

    // Applies the list of a configuration; ignored unless its serial is newer.
    void apply_configured(std::uint64_t serial, const std::vector<decide::DiscoveredEndpoint>& endpoints);
    void apply_received(const discovery::ReceivedUpdate& update);
    // Confirms the current list from a response of which only the serial was read. Returns false if the
    // response must be applied completely: it has another serial, or an endpoint is in doubt.
    bool confirm(std::uint64_t serial);
    // Applies changed limits on engine connections and on the memory of results.
    void refresh_resource_limits();

    // ---- Engines

    // Returns null if the id is unknown.
    RegisteredEngine* find(EngineId id);
    const RegisteredEngine* find(EngineId id) const;
    const std::map<EngineId, RegisteredEngine>& engines() const {
        return engines_;
    }
    EndpointState state(EngineId id) const {
        return list_.state(id);
    }
    // Returns "-" if the id is unknown.
    std::string name_of(EngineId id) const;
    // Returns the engine's state for AttemptGuard; `listed` is false if the id is unknown.
    decide::EndpointSnapshot snapshot(EngineId id) const;

    // ---- Slow start

    // Records the estimated work of an accepted request, in microseconds on one thread.
    void record_work(Micros work);
    // Returns how many requests of mean work fit the engine's slow-start share within the overload window,
    // for all nodes together and without the guard's allowance (decide::slow_start_budget); nothing if that
    // is unknown.
    std::optional<double> slow_start_share_requests(EngineId id) const;
    void record_slow_start_send(EngineId id, Micros at, std::size_t attempts);

    // ---- Operation

    // To be called about once a second: removes unlisted engines without attempts in flight, closes idle
    // connections before they expire, and logs when the list has not been confirmed for long.
    void tick();
    bool has_endpoint_list() const {
        return !list_.endpoints().empty() || list_.serial() > 0;
    }
    // Returns the list's serial and the time since its last confirmation, for logs.
    std::string list_text() const;
    const ConnectionPool& pool() const {
        return pool_;
    }

private:
    void apply(std::optional<EndpointUpdate> update);
    std::vector<std::unique_ptr<EngineConnections>> connect_listed();
    decide::ConnectionLimits connection_limits() const;
    void apply_endpoint_states(const EndpointUpdate& update);
    void log_state(const RegisteredEngine& engine, const Endpoint& endpoint) const;
    void reset_before_grace_ends();
    void log_list_age();
    Micros wall_now() const;

    net::Loop& loop_;
    const NodeSettings& settings_;
    const decide::ResourceLimits& limits_;
    const NodeDeps& deps_;
    Events events_;
    ConnectionPool pool_;
    decide::EndpointList list_;
    std::map<EngineId, RegisteredEngine> engines_;
    double mean_work_ = 0;            // of accepted requests, in microseconds on one thread; 0: unknown
    Micros wall_offset_;              // from the loop's clock to the wall clock, read once at construction
    bool list_stale_logged_ = false;  // whether the log says that the list is old
    net::TimerId discard_timer_ = 0;
};

}  // namespace gatetiller::node
