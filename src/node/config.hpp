// node: a front on the platform's sockets: Thrift clients, RESP engines, a name service. This file: what the
// platform tells it, from the JSON file that EDGE_CONFIG names.
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
    net::Address listen, dns;
    std::uint64_t seed = 1;
    double cores = 1;
    std::int64_t memory_mb = 0, sockets = 0;        // the limits of the machine
    Micros idle_close = 0;                          // engines close connections idle for so long; 0: never
    Micros connect_time_out = 0;                    // a connection not up by then counts as refused
    int streams = 1;                                // attempts that one connection carries at most
    std::uint64_t known_number = 0;                 // of the name service's last event before the start
    std::vector<decide::DiscoveredEndpoint> known;  // the list as it then was
    PolicySettings module;
    std::string settings_text;  // as they stood in the file, to see whether another file changes them
};

// Errors name the member and what would be right. One that may pass has a code: text that is no JSON (EAGAIN)
// may be half written, a file may not be readable for a moment.
Result<NodeSettings> read_config(const std::string& text);
Result<NodeSettings> load_config(const std::string& file);

}  // namespace gatetiller::node
