// Formats the status line of a front node; docs/operators/front-node.md documents its keys.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "decide/invariants.hpp"
#include "node/attempt_dispatcher.hpp"
#include "node/client_sessions.hpp"
#include "node/endpoint_registry.hpp"
#include "node/request_dispatcher.hpp"

namespace gatetiller::node {

struct StatusSources {
    const RequestDispatcher& requests;
    const AttemptDispatcher& attempts;
    const ClientSessions& clients;
    const EndpointRegistry& endpoints;
    const decide::ViolationCounts& violations;
    std::uint64_t bad_lists = 0;                  // ignored responses of the name service
    std::optional<std::uint64_t> log_lines_lost;  // nothing if the log does not count them
    std::size_t timers = 0;                       // pending timers of the loop
};

std::string status_text(const StatusSources& sources);

}  // namespace gatetiller::node
