// What an engine's documents tell of a running attempt, in the module's words and at the module's pace.
#pragma once

#include <vector>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

struct QueryStats {       // of one document's stats
    double progress = 0;  // per cent
    bool queued = false, scheduled = false;
    std::int64_t queued_splits = 0, running_splits = 0, spilled_bytes = 0;
};

struct ProgressUpdate {
    ProgressKind kind;
    double value;
};

// One attempt's notes. The module judges an attempt by its progress at a known pace: told more often, a short
// query that has only begun looks as if it would never end and is called off. So progress is told once a
// period, from the attempt's start on. What is news goes out at once, each a first time and then once a
// period: that it spills (MB written, once more than before), that it waits for memory (the engine queues it)
// or for a load (scheduled, none of its splits runs).
class ProgressReporter {
public:
    ProgressReporter(Micros started, Micros period)
        : period_(period), progress_at_(started), waits_at_(started - period) {}
    std::vector<ProgressUpdate> observe(Micros now, const QueryStats& seen);

private:
    Micros period_, progress_at_, waits_at_;
    std::int64_t spilled_ = 0;
    double waiting_for_ = 0;
};

}  // namespace gatetiller::decide
