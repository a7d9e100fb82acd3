// A front node of the platform. It serves clients over Thrift, sends requests to engines over RESP and polls
// the name service over DNS. This class connects the node's parts and is its interface to the program.
//
// Network events become events of the policy (policy/gateway_policy.hpp), and the policy's actions are
// executed on the network. The node makes no decisions itself: those that the policy leaves open are made by
// functions of src/decide.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/policy_driver.hpp"
#include "decide/invariants.hpp"
#include "decide/resource_limits.hpp"
#include "discovery/dns_endpoint_source.hpp"
#include "node/attempt_dispatcher.hpp"
#include "node/client_sessions.hpp"
#include "node/config.hpp"
#include "node/endpoint_registry.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/node_deps.hpp"
#include "node/request_dispatcher.hpp"

namespace gatetiller::node {

class Node {
public:
    // The loop must outlive the node. Throws std::invalid_argument if the settings are contradictory.
    Node(net::Loop& loop, NodeSettings settings, NodeDeps deps);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Returns the address that clients connect to. After a failure it may be called again and resumes at the
    // step that failed.
    Result<net::Address> start();
    bool has_endpoint_list() const {
        return endpoints_.has_endpoint_list();
    }
    bool is_listening() const {
        return clients_.is_listening();
    }
    // Applies the parts of a new configuration that may change at runtime: the name service's address, a
    // newer endpoint list, and the machine's limits. A change of the name, the listening address, or the
    // policy's settings is logged and requires a restart.
    void reload(const NodeSettings& settings);
    // Begins a planned restart. `done` is called once, when no request or connection remains or the time is
    // over. A second call has no effect.
    void drain(std::function<void()> done);

    std::size_t active_requests() const {
        return requests_.active_requests();
    }
    // Returns for each engine the attempts in flight as counted by the policy and by its connections.
    std::vector<std::pair<std::size_t, std::size_t>> in_flight_by_engine() const;
    // Returns the status line.
    std::string status() const;
    const decide::ViolationCounts& violations() const {
        return violations_;
    }
    // Counts and logs an action that a guard refused. `subject` names what the action concerned.
    void report_violation(decide::Invariant invariant, const std::string& subject);

private:
    ClientSessions::Events client_events();
    discovery::DnsEndpointSource::Events discovery_events();
    EndpointRegistry::Events endpoint_events();
    AttemptDispatcher::Events attempt_events();
    GracefulShutdown::Events shutdown_events();
    void trace_close(ClientId client, const std::string& peer, decide::CloseReason reason,
                     const decide::ClosingContext& context) const;
    void tick();
    void log_settings() const;
    std::string limits_text() const;

    net::Loop& loop_;
    NodeSettings settings_;
    NodeDeps deps_;
    decide::ResourceLimits limits_;
    decide::ViolationCounts violations_;
    std::uint64_t bad_lists_ = 0;  // ignored responses of the name service

    // Each part holds references only to parts declared before it. Calls to later parts go through
    // callbacks (the Events structs above and the action callback of policy_).
    core::PolicyDriver policy_;
    ClientSessions clients_;
    discovery::DnsEndpointSource discovery_;
    EndpointRegistry endpoints_;
    AttemptDispatcher attempts_;
    GracefulShutdown shutdown_;
    RequestDispatcher requests_;

    bool policy_started_ = false;
    bool discovery_started_ = false;
    std::function<void()> on_drained_;
    net::TimerId tick_timer_ = 0;
    int ticks_ = 0;
};

}  // namespace gatetiller::node
