// Reads the configuration of a front node from the JSON file that EDGE_CONFIG names.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "decide/endpoint_list.hpp"
#include "net/loop.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

struct NodeSettings {
    std::string name;
    net::Address listen;  // for clients
    net::Address dns;     // the name service
    std::uint64_t seed = 1;
    // Resource limits of the machine.
    double cores = 1;
    std::int64_t memory_mb = 0;
    std::int64_t sockets = 0;
    // Idle time after which engines close a connection, in microseconds; 0: never.
    Micros idle_timeout = 0;
    // A connection that is not established within this time, in microseconds, counts as refused.
    Micros connect_timeout = 0;
    // Maximum attempts in flight on one connection.
    int max_streams = 1;
    // The initial endpoint list and its serial at the name service.
    std::uint64_t known_serial = 0;
    std::vector<decide::DiscoveredEndpoint> known_endpoints;
    PolicySettings policy;
    // The policy's settings as JSON text, with which a reload detects changes.
    std::string settings_text;
};

// Errors name the member and the allowed values. A temporary error has a code: text that is not JSON may be
// partially written (EAGAIN), and a file may be unreadable for a moment (the code of the system call).
Result<NodeSettings> read_config(const std::string& text);
Result<NodeSettings> load_config(const std::string& file);

}  // namespace gatetiller::node
