// The share of free slots that is offered to latency-sensitive requests first (alpha of the paper).
//
// Source: "User Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems", section 3.2.
// The share starts as the share of sensitive requests among the first ones. Once a second it grows by a
// factor while a sensitive stream misses its disengagement target, and shrinks while all keep it with room to
// spare. It lies in [0.05, 0.95].
#pragma once

namespace gatetiller::policy {

// What the sensitive streams show, as of their last fit.
struct SensitiveStreamSummary {
    double worst_ratio = 0;     // disengagement over target of the worst stream; 1: on target
    double best_ratio = 0;      // and of the best one
    double mean_variation = 1;  // mean coefficient of variation of their latencies
};

// The share that follows `share` one step later.
double next_sensitive_share(double share, const SensitiveStreamSummary& streams);

class SensitiveShare {
public:
    double value() const {
        return share_;
    }
    // Counts one arrival; while the first ones are counted the share follows them.
    void count_arrival(bool sensitive);
    // Whether the share still follows the first arrivals instead of the streams.
    bool starting() const;
    // Takes one step. No effect while starting.
    void adjust(const SensitiveStreamSummary& streams);

private:
    double share_ = 0.5;
    double arrivals_ = 0;
    double sensitive_arrivals_ = 0;
};

}  // namespace gatetiller::policy
