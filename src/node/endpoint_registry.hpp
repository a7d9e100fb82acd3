// The engines that a front node knows, with the connections to each. It applies updates of the endpoint list,
// resets what may not begin at draining engines any more, and counts what slow start limits.
//
// Invariant: the policy gets an update before anything ends because of it, so that what ends is retried by
// the new list.
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

// Times are the loop's.
struct RegisteredEngine {
    std::string name;
    std::string address;
    std::unique_ptr<EngineConnections> connections;  // null: no usable address is known
    std::size_t in_flight = 0;                       // attempts whose end the policy has not been notified of
    bool listed = true;                              // removed from the registry once nothing is in flight
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
    Micros started_at = 0;                // 0: long ago
    Micros draining_since = 0;            // when this node was notified; 0: it does not drain
    bool discard_pending = false;         // it drains, and its unacknowledged bytes are not discarded yet
    std::deque<Micros> slow_start_sends;  // attempts during slow start, within the overload window
};

class EndpointRegistry {
public:
    struct Events {
        // An update for the policy.
        std::function<void(EndpointUpdate)> on_update;
        // Called after the policy received that update: attempts of which nothing was sent yet to an engine
        // that is not ready are to be withdrawn.
        std::function<void()> on_applied;
    };

    // All references outlive it. `settings` and `limits` may change meanwhile.
    EndpointRegistry(net::Loop& loop, const NodeSettings& settings, const decide::ResourceLimits& limits,
                     const NodeDeps& deps, Events events);
    ~EndpointRegistry();
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    // ---- Updates of the endpoint list

    // The list of a configuration; ignored unless its serial is newer.
    void apply_configured(std::uint64_t serial, const std::vector<decide::DiscoveredEndpoint>& endpoints);
    void apply_received(const discovery::ReceivedUpdate& update);
    // Whether the list of that serial is the current one and nothing about it is in doubt.
    bool confirm(std::uint64_t serial);
    // The connection limit has changed.
    void refresh_connection_limit();

    // ---- Engines

    // Null where the id is unknown.
    RegisteredEngine* find(EngineId id);
    const RegisteredEngine* find(EngineId id) const;
    const std::map<EngineId, RegisteredEngine>& engines() const {
        return engines_;
    }
    EndpointState state(EngineId id) const {
        return list_.state(id);
    }
    // "-" where the id is unknown.
    std::string name_of(EngineId id) const;
    // For AttemptGuard: `listed` is false where the id is unknown.
    decide::EndpointSnapshot snapshot(EngineId id) const;

    // ---- Slow start

    // The estimated work of an accepted request, in microseconds on one thread.
    void record_work(Micros work);
    // How many requests of mean work fit the engine's slow-start share within the overload window, for all
    // nodes together and without the guard's allowance (decide::slow_start_budget); nothing where that is
    // unknown.
    std::optional<double> slow_start_share_requests(EngineId id) const;
    void record_slow_start_send(EngineId id, Micros at, std::size_t attempts);

    // ---- Operation

    // To be called about once a second: forgets engines that are gone, closes expiring connections, and logs
    // when the list grows old.
    void tick();
    bool has_endpoint_list() const {
        return !list_.endpoints().empty() || list_.serial() > 0;
    }
    // For logs: the list's serial and for how long it has not been confirmed.
    std::string list_text() const;
    const ConnectionPool& pool() const {
        return pool_;
    }

private:
    void apply(std::optional<EndpointUpdate> update);
    std::vector<std::unique_ptr<EngineConnections>> connect_listed();
    decide::ConnectionLimits connection_limits() const;
    void record(const EndpointUpdate& update);
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
    double mean_work_ = 0;   // of accepted requests, in microseconds on one thread; 0: unknown
    Micros wall_offset_;     // from the loop's clock to the wall clock, read once
    bool list_old_ = false;  // and the log says so
    net::TimerId discard_timer_ = 0;
};

}  // namespace gatetiller::node
