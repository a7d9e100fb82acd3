// The configuration of a front node, from the JSON file that EDGE_CONFIG names.
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
    net::Address dns;     // of the name service
    std::uint64_t seed = 1;
    // The limits of the machine.
    double cores = 1;
    std::int64_t memory_mb = 0;
    std::int64_t sockets = 0;
    // Engines close connections that are idle for so long, in microseconds; 0: never.
    Micros idle_timeout = 0;
    // A connection that is not up after so many microseconds counts as refused.
    Micros connect_timeout = 0;
    // Most attempts in flight on one connection.
    int max_streams = 1;
    // The endpoint list at the start, and its serial at the name service.
    std::uint64_t known_serial = 0;
    std::vector<decide::DiscoveredEndpoint> known_endpoints;
    PolicySettings policy;
    // The policy's settings as they stand in the file, by which a reload sees a change.
    std::string settings_text;
};

// Errors name the member and what would be right. A temporary one has a code: text that is not JSON (EAGAIN)
// may be half written, a file may not be readable for a moment.
Result<NodeSettings> read_config(const std::string& text);
Result<NodeSettings> load_config(const std::string& file);

}  // namespace gatetiller::node
