// Turns the statistics in an engine's documents into progress updates for the policy, at a limited rate.
//
// The policy extrapolates an attempt's end from its progress per update and expects one update a period: more
// frequent updates would make a query that has just begun look as if it never ended. So progress is reported
// once a period, the first time a period after the attempt's start. Two facts are reported as soon as they
// are observed: that the attempt spills (each time the spilled bytes grow), and that it waits (when it begins
// to wait or waits for something else, and then once a period). Where the progress is not known, what is
// reported once a period is that the attempt waits for nothing: a progress of 0 would look like a query that
// never ends. Times are microseconds of one monotonic clock.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// The statistics of one document.
struct QueryStats {
    // Per cent; nothing where the engine does not tell it.
    std::optional<double> progress{};
    // The engine has the query in its queue: it waits for memory.
    bool queued = false;
    // The query is scheduled; with queued and without running splits it waits for data to be loaded.
    bool scheduled = false;
    std::int64_t queued_splits = 0;
    std::int64_t running_splits = 0;
    std::int64_t spilled_bytes = 0;
};

// One update for the policy. `value`: for spilling MiB, for waiting 0 (nothing), 1 (memory) or 2 (data), for
// fraction_done a fraction from 0 to 1.
struct ProgressUpdate {
    ProgressKind kind;
    double value;
};

// Reports the progress of one attempt.
class ProgressReporter {
public:
    ProgressReporter(Micros started_at, Micros period)
        : period_(period), progress_reported_at_(started_at), waiting_reported_at_(started_at - period) {}
    // The updates to report for a document that arrived at `now`.
    std::vector<ProgressUpdate> observe(Micros now, const QueryStats& stats);

private:
    Micros period_;
    Micros progress_reported_at_;
    Micros waiting_reported_at_;
    std::int64_t spilled_bytes_ = 0;
    // The value of the last document: what the attempt waits for, 0 for nothing.
    double waiting_for_ = 0;
};

}  // namespace gatetiller::decide
