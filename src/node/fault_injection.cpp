#include "node/fault_injection.hpp"

namespace gatetiller::node {

const FaultInjection& fault_injection() {
    static const FaultInjection kNone;
    return kNone;
}

}  // namespace gatetiller::node
