// Whether a whole and well-formed request is taken by a front node, before the module hears of it.
#pragma once

#include <cstddef>

#include "decide/graceful_shutdown.hpp"
#include "decide/resource_limits.hpp"

namespace gatetiller::decide {

struct NodeLoad {
    std::size_t requests = 0, statement_bytes = 0;  // taken and not over
    bool duplicate_id = false;                      // one of them bears the id of the new one
    Micros draining_for = 0;                        // since the signal; 0: no planned restart
};

// Each but `taken` is refused at once: nothing of it was sent, so trying again is harmless.
enum class NodeAdmission {
    admitted,
    duplicate,
    at_capacity,
    shutting_down
};
NodeAdmission admit(const NodeLoad& holding, std::size_t statement_bytes, const ResourceLimits& bounds,
                    const ShutdownSchedule& times);

}  // namespace gatetiller::decide
