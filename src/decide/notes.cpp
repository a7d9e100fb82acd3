#include "decide/notes.hpp"

namespace gatetiller::decide {

std::vector<Told> Notes::take(Micros now, const Seen& seen) {
    constexpr double kMega = 1048576.0, kForMemory = 1, kForLoad = 2;
    std::vector<Told> told;
    if (seen.spilled_bytes > spilled_) {
        spilled_ = seen.spilled_bytes;
        told.push_back({NoteTopic::spills, static_cast<double>(spilled_) / kMega});
    }
    const double waits = seen.queued                                                            ? kForMemory
                         : seen.scheduled && seen.running_splits == 0 && seen.queued_splits > 0 ? kForLoad
                                                                                                : 0;
    if (waits != 0) {
        if (waits != waiting_for_ || now - waits_at_ >= period_)
            told.push_back({NoteTopic::waits, waits}), waits_at_ = now;
    } else if (now - progress_at_ >= period_) {
        told.push_back({NoteTopic::progress, seen.progress / 100});
        progress_at_ = now;
    }
    waiting_for_ = waits;
    return told;
}

}  // namespace gatetiller::decide
