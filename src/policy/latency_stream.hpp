// Recent responses of one class and tenant, and the latency budget fitted to them.
//
// The window contains at most 1,000 responses of the last 10 s. With fewer than 10 responses the fit assumes
// a coefficient of variation of 1 and the expected run time of the class. Times are in microseconds.
#pragma once

#include <deque>

#include "base/time.hpp"

namespace gatetiller::policy {

// Measurements of one response.
struct LatencySample {
    Micros at = 0;
    double latency = 0;        // from arrival to response
    double run_time = 0;       // run time of the attempt that succeeded
    double disengagement = 0;  // 0 within the objective, 0.5 within the deadline, else 1
};

struct LatencyFitInput {
    Micros now = 0;
    double expected_run_time = 0;  // expected run time of the class
    double objective = 0;
    double deadline = 0;
};

struct LatencyFit {
    bool has_samples = false;  // enough samples; otherwise `variation` and `run_time` are assumed
    double variation = 1;      // coefficient of variation of the latencies
    double run_time = 0;       // mean run time
    double budget = 0;         // mean latency that meets the target
    double target_ratio = 0;   // ratio of disengagement to target
};

class LatencyStream {
public:
    void add(const LatencySample& sample) {
        window_.push_back(sample);
    }
    // Removes samples that are outside the window and fits the rest.
    void refit(const LatencyFitInput& input);
    // Returns the last fit. Its budget is 0 before the first one.
    const LatencyFit& fit() const {
        return fit_;
    }

private:
    std::deque<LatencySample> window_;
    LatencyFit fit_;
};

}  // namespace gatetiller::policy
