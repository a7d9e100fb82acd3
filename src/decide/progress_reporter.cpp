#include "decide/progress_reporter.hpp"

namespace gatetiller::decide {
namespace {

constexpr double kBytesPerMebibyte = 1048576.0;
constexpr double kPercent = 100;
// Values of ProgressKind::waiting.
constexpr double kWaitsForNothing = 0;
constexpr double kWaitsForMemory = 1;
constexpr double kWaitsForData = 2;

double waits_for(const QueryStats& stats) {
    if (stats.queued)
        return kWaitsForMemory;
    if (stats.scheduled && stats.running_splits == 0 && stats.queued_splits > 0)
        return kWaitsForData;
    return kWaitsForNothing;
}

}  // namespace

std::vector<ProgressUpdate> ProgressReporter::observe(Micros now, const QueryStats& stats) {
    std::vector<ProgressUpdate> updates;
    if (stats.spilled_bytes > spilled_bytes_) {
        spilled_bytes_ = stats.spilled_bytes;
        updates.push_back({ProgressKind::spilling, static_cast<double>(spilled_bytes_) / kBytesPerMebibyte});
    }
    const double waiting_for = waits_for(stats);
    if (waiting_for != kWaitsForNothing) {
        if (waiting_for != waiting_for_ || now - waiting_reported_at_ >= period_) {
            updates.push_back({ProgressKind::waiting, waiting_for});
            waiting_reported_at_ = now;
        }
    } else if (now - progress_reported_at_ >= period_) {
        updates.push_back(stats.progress
                              ? ProgressUpdate{ProgressKind::fraction_done, *stats.progress / kPercent}
                              : ProgressUpdate{ProgressKind::waiting, kWaitsForNothing});
        progress_reported_at_ = now;
    }
    waiting_for_ = waiting_for;
    return updates;
}

}  // namespace gatetiller::decide
