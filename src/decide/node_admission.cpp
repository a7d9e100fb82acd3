#include "decide/node_admission.hpp"

namespace gatetiller::decide {

NodeAdmission admit(const NodeLoad& load, std::size_t statement_bytes, const ResourceLimits& limits,
                    const ShutdownSchedule& schedule) {
    // Responses of engines are matched by request id: those to two open requests with one id could be mixed
    // up.
    if (load.duplicate_id)
        return NodeAdmission::duplicate;
    if (load.draining_for >= schedule.admit_until)
        return NodeAdmission::shutting_down;
    if (load.requests >= limits.requests || load.statement_bytes + statement_bytes > limits.statement_bytes)
        return NodeAdmission::at_capacity;
    // Clients that have read their responses are served however many others have not.
    if (load.client_unsent_bytes > 0 && load.unsent_bytes > limits.total_unsent_bytes)
        return NodeAdmission::at_capacity;
    return NodeAdmission::admitted;
}

}  // namespace gatetiller::decide
