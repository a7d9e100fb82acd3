#include "decide/progress_reporter.hpp"

namespace gatetiller::decide {

std::vector<ProgressUpdate> ProgressReporter::observe(Micros now, const QueryStats& seen) {
    constexpr double kMega = 1048576.0, kForMemory = 1, kForLoad = 2;
    std::vector<ProgressUpdate> told;
    if (seen.spilled_bytes > spilled_) {
        spilled_ = seen.spilled_bytes;
        told.push_back({ProgressKind::spilling, static_cast<double>(spilled_) / kMega});
    }
    const double waits = seen.queued                                                            ? kForMemory
                         : seen.scheduled && seen.running_splits == 0 && seen.queued_splits > 0 ? kForLoad
                                                                                                : 0;
    if (waits != 0) {
        if (waits != waiting_for_ || now - waits_at_ >= period_)
            told.push_back({ProgressKind::waiting, waits}), waits_at_ = now;
    } else if (now - progress_at_ >= period_) {
        told.push_back({ProgressKind::fraction_done, seen.progress / 100});
        progress_at_ = now;
    }
    waiting_for_ = waits;
    return told;
}

}  // namespace gatetiller::decide
