// What the parts of a front node get from the program around it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "node/fault_injection.hpp"

namespace gatetiller::node {

struct NodeDeps {
    // Writes a line that an operator reads.
    std::function<void(const std::string&)> log;
    // Writes a line for each state change of a request, a connection or the endpoint list, with its reason.
    // May be absent.
    std::function<void(const std::string&)> trace;
    // How many lines of the log could not be written. May be absent.
    std::function<std::uint64_t()> log_lines_lost = nullptr;
    // Must outlive the node.
    const FaultInjection* faults = &fault_injection();
};

}  // namespace gatetiller::node
