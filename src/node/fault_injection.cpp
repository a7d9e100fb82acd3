#include "node/fault_injection.hpp"

namespace gatetiller::node {

const FaultInjection& fault_injection() {
    static const FaultInjection none;
    return none;
}

}  // namespace gatetiller::node
