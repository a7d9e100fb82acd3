#include "decide/node_admission.hpp"

namespace gatetiller::decide {

NodeAdmission admit(const NodeHolding& h, std::size_t bytes, const NodeBounds& bounds,
                    const RestartTimes& times) {
    // Under an open id whatever engines say could be the other's: it goes first, as nothing makes up for it.
    if (h.same_id)
        return NodeAdmission::twice;
    if (h.draining_for >= times.takes_new)
        return NodeAdmission::ending;
    const bool full = h.requests >= bounds.requests || h.statement_bytes + bytes > bounds.statement_bytes;
    return full ? NodeAdmission::no_room : NodeAdmission::taken;
}

}  // namespace gatetiller::decide
