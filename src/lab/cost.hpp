// What a front costs: latency added against asking the engine directly, in one run; CPU for each statement;
// statements a second until it saturates; memory for each waiting statement; one turn of the loop with many
// idle connections.
#pragma once

#include <string>

#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::lab {

struct CostOptions {
    std::string program, folder;
    double seconds = 4;  // of each phase
    int waiting = 9000;  // statements and idle connections; bounded by the process's descriptors
    int engines = 2;
    int clients = 64;     // that ask one statement after another, for saturation
    bool ledger = false;  // only: statements a second with a ledger against without, in turns
};

Result<std::string> measure_cost(const CostOptions& options);  // a table in Markdown

}  // namespace gatetiller::lab
