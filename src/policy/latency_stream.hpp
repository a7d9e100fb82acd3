// The recent answers of one class and tenant, and the latency budget fitted to them.
//
// The window holds at most 1,000 answers of at most 10 s. With fewer than 10 the fit assumes a coefficient of
// variation of 1 and the class's expected run time. Times are microseconds.
#pragma once

#include <deque>

#include "base/time.hpp"

namespace gatetiller::policy {

// One answer.
struct LatencySample {
    Micros at = 0;
    double latency = 0;        // from arrival to answer
    double run = 0;            // of the attempt that succeeded
    double disengagement = 0;  // 0 within the objective, 0.5 within the deadline, else 1
};

struct LatencyFitInput {
    Micros now = 0;
    double expected_run = 0;  // of the class
    double objective = 0;
    double deadline = 0;
};

struct LatencyFit {
    bool has_samples = false;  // enough of them; otherwise the next two are assumptions
    double variation = 1;      // standard deviation over mean of the latencies
    double run = 0;            // mean run time
    double budget = 0;         // mean latency that keeps the target
    double target_ratio = 0;   // disengagement over target
};

class LatencyStream {
public:
    void add(const LatencySample& sample) {
        window_.push_back(sample);
    }
    // Drops samples that left the window and fits the rest.
    void refit(const LatencyFitInput& input);
    // The last fit; its budget is 0 before the first one.
    const LatencyFit& fit() const {
        return fit_;
    }

private:
    std::deque<LatencySample> window_;
    LatencyFit fit_;
};

}  // namespace gatetiller::policy
