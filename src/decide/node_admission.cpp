#include "decide/node_admission.hpp"

namespace gatetiller::decide {

NodeAdmission admit(const NodeLoad& h, std::size_t bytes, const ResourceLimits& bounds,
                    const ShutdownSchedule& times) {
    // Under an open id whatever engines say could be the other's: it goes first, as nothing makes up for it.
    if (h.duplicate_id)
        return NodeAdmission::duplicate;
    if (h.draining_for >= times.admit_until)
        return NodeAdmission::shutting_down;
    const bool full = h.requests >= bounds.requests || h.statement_bytes + bytes > bounds.statement_bytes;
    return full ? NodeAdmission::at_capacity : NodeAdmission::admitted;
}

}  // namespace gatetiller::decide
