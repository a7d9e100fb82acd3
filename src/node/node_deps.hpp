// Dependencies that the program provides to the parts of a front node.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "node/fault_injection.hpp"

namespace gatetiller::node {

struct NodeDeps {
    // Writes a log line for operators.
    std::function<void(const std::string&)> log;
    // Writes a trace line for each state change of a request, a connection or the endpoint list, with its
    // reason. May be absent.
    std::function<void(const std::string&)> trace;
    // Returns the number of log lines that could not be written. May be absent.
    std::function<std::uint64_t()> log_lines_lost = nullptr;
    // Must outlive the node.
    const FaultInjection* faults = &fault_injection();
};

}  // namespace gatetiller::node
