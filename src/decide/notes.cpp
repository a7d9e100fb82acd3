#include "decide/notes.hpp"

namespace gatetiller::decide {

std::vector<Told> notes_of(const Seen& before, const Seen& now) {
    constexpr double kMega = 1048576.0, kForMemory = 1, kForLoad = 2;
    std::vector<Told> told;
    if (now.spilled_bytes > before.spilled_bytes)
        told.push_back({NoteTopic::spills, static_cast<double>(now.spilled_bytes) / kMega});
    if (now.queued) told.push_back({NoteTopic::waits, kForMemory});
    else if (now.scheduled && now.running_splits == 0 && now.queued_splits > 0)
        told.push_back({NoteTopic::waits, kForLoad});
    else told.push_back({NoteTopic::progress, now.progress / 100});
    return told;
}

}  // namespace gatetiller::decide
