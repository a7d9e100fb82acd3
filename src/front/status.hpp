// The front's members of GET /v1/status, as clients and operators read them.
#pragma once

#include <cstddef>
#include <string>

#include "front/engine_registry.hpp"

namespace gatetiller::front {

struct StatusFigures {
    std::size_t statements = 0;     // active ones
    std::size_t waiting_bytes = 0;  // of rows that wait for clients
    std::size_t connections = 0;    // of clients
    double alpha = 0;               // admission level of the policy
};

// JSON members, each after a comma. `ledger_member` is appended as it is.
std::string status_members(const EngineRegistry& engines, const StatusFigures& figures,
                           const std::string& ledger_member);

}  // namespace gatetiller::front
