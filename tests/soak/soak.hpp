// One soak: a fleet of front nodes as real processes, with engines, clients and a name service of our own on
// loopback, under the troubles of a plan; and what its oracle found.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "soak/plan.hpp"

namespace gatetiller::soak {

struct SoakOptions {
    PlanSettings plan;
    std::vector<std::size_t> without;                      // troubles left out, by number
    std::string program;                                   // the shipped binary
    std::string run = "exec build-bench/gatetiller node";  // as the deploy file has it; its program is put in
    std::string shim;                                      // the fault shim's library
    std::string folder;                                    // for configurations and logs
    std::string planted;  // names of planted faults, for a program built with them
    double rate = 20;     // requests a second at each node
    double noise = 0;     // share of the engines' messages of which one byte of the fields is unreadable
};

struct Finding {
    std::string kind;  // rule 1 to 7, overlap, deadline, cold, crash, start, leak, invariant, end, unusable
    std::string what;
};

struct SoakResult {
    std::vector<Finding> findings;
    std::size_t asked = 0, answered = 0, served = 0, attempts = 0, starts = 0, link_resets = 0, crossed = 0,
                calls_failed = 0;
    std::string text() const;  // one line
};

Result<SoakResult> run_soak(const SoakOptions& options);

}  // namespace gatetiller::soak
