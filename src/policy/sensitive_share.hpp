// Share of free slots that is offered to latency-sensitive requests first (alpha of the paper).
//
// Source: "User Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems", section 3.2.
// The initial value is the share of sensitive requests among the first arrivals. Once per second it is
// multiplied by a factor if a sensitive stream misses its disengagement target, and decreased if all meet it
// and one has slots to spare. The range is [0.05, 0.95].
#pragma once

namespace gatetiller::policy {

// Summary of the last fits of the sensitive streams.
struct SensitiveStreamSummary {
    double worst_ratio = 0;     // ratio of disengagement to target of the worst stream; 1: on target
    double best_ratio = 0;      // the same ratio of the best stream
    double mean_variation = 1;  // mean coefficient of variation of their latencies
};

// Returns the share that follows `share` after one step.
double next_sensitive_share(double share, const SensitiveStreamSummary& streams);

class SensitiveShare {
public:
    double value() const {
        return share_;
    }
    // Counts one arrival. The share follows the first arrivals.
    void count_arrival(bool sensitive);
    // Returns whether the share still follows the first arrivals instead of the streams.
    bool is_starting() const;
    // Adjusts the share by one step. Has no effect while starting.
    void adjust(const SensitiveStreamSummary& streams);

private:
    double share_ = 0.5;
    double arrivals_ = 0;
    double sensitive_arrivals_ = 0;
};

}  // namespace gatetiller::policy
