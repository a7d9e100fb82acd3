// Members of the GET /v1/status document that describe a front, for clients and operators.
#pragma once

#include <cstddef>
#include <string>

#include "front/engine_registry.hpp"

namespace gatetiller::front {

struct StatusValues {
    std::size_t statements = 0;     // active statements
    std::size_t waiting_bytes = 0;  // size of rows that wait for clients, in bytes
    std::size_t connections = 0;    // client connections
    double sensitive_share = 0;     // of the policy; published as "alpha"
};

// Returns the JSON members, each preceded by a comma. `ledger_member` is appended unchanged.
std::string status_members(const EngineRegistry& engines, const StatusValues& values,
                           const std::string& ledger_member);

}  // namespace gatetiller::front
