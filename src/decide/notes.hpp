// What an engine's document tells of a running attempt, in the module's words.
#pragma once

#include <vector>

#include "policy/brain.hpp"

namespace gatetiller::decide {

struct Seen {  // of one document's stats
    double progress = 0;  // per cent
    bool queued = false, scheduled = false;
    std::int64_t queued_splits = 0, running_splits = 0, spilled_bytes = 0;
};

struct Told {
    NoteTopic topic;
    double value;
};

// Progress always, so that silence is noticed; spilling as MB written, once more than was told before; waiting for
// memory while the engine queues it, for a load while it is scheduled but none of its splits runs.
std::vector<Told> notes_of(const Seen& before, const Seen& now);

}  // namespace gatetiller::decide
