// What requests cost: by class, and of the usual query; and the latency streams by class and tenant.
//
// A class's statistics follow what completed attempts tell of work and memory. Where answers tell no work,
// they follow run times, or estimates times a learned ratio. Times are microseconds, work is microseconds of
// one core, memory is megabytes.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/events.hpp"
#include "policy/latency_stream.hpp"
#include "policy/sensitive_share.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

// Statistics of one class.
struct ClassStatistics {
    static constexpr double kNoCalmRatio = 1e12;

    double work_ratio = 1;                 // true work over estimate
    double memory_ratio = 1;               // true memory over estimate
    double work = 0;                       // usual work; 0: nothing known
    double estimated_work = 0;             // usual estimate; 0: none came
    Micros first_unestimated_at = 0;       // when its first request without an estimate came
    double estimates = 0;                  // that came
    double answers = 0;                    // with a run time
    double run_ratio = 1;                  // thread time over known work: usual
    double calm_run_ratio = kNoCalmRatio;  // and the least of it, without contention
    bool sensitive = false;                // its usual run time is short
};

// Of one query that runs, whatever its class, weighted by run time.
struct UsualQuery {
    double run = 0;
    double work = 0;
    double memory_mb = 0;
    double threads = 1;
};

// What one request is expected to cost.
struct CostEstimate {
    double work = 0;
    double estimated_work = 0;  // as it came; 0: none came
    double memory_mb = 0;
    double estimated_memory_mb = 0;
};

class WorkloadStatistics {
public:
    // `settings` outlives it.
    explicit WorkloadStatistics(const PolicySettings& settings);

    // Counts an arrival's estimate and returns what the request is expected to cost.
    CostEstimate estimate(const RequestArrived& arrival, int class_index, Micros now);
    // The latest dispatch with which a request that arrives now keeps its stream's budget.
    Micros dispatch_by(const ActiveRequest& request, Micros now);
    // Counts a request in the usual query.
    void count_usual(const ActiveRequest& request);

    // Learns work and memory from an attempt that succeeded.
    void learn_cost(const ActiveRequest& request, const Attempt& attempt, const AttemptCompleted& completed);
    // Learns the class's run time from it. Returns the run time over that of a calm endpoint, or nothing
    // while no calm one is known.
    std::optional<double> learn_run(const ActiveRequest& request, const Attempt& attempt,
                                    const AttemptCompleted& completed);
    // Learns that an attempt spilled for want of `missing_mb`. `even_share_mb`: memory of its endpoint that
    // its threads account for at the concurrency limit; a larger grant tells nothing.
    void learn_spill(const ActiveRequest& request, const Attempt& attempt, double missing_mb,
                     double even_share_mb);
    // Adds an answer to its request's stream.
    void add_answer(const ActiveRequest& request, Micros run, Micros now);

    // Fits all streams and decides which classes are sensitive.
    void refit(Micros now);
    // Lets the calm run times grow, so that a lasting change is learned; once a second.
    void relax_calm_runs();
    // Of the sensitive streams with enough samples; nothing if there is none.
    std::optional<SensitiveStreamSummary> sensitive_streams() const;

    const ClassStatistics& of(const ActiveRequest& request) const {
        return classes_[request.class_index];
    }
    const std::vector<ClassStatistics>& classes() const {
        return classes_;
    }
    const UsualQuery& usual() const {
        return usual_;
    }
    // Expected run time of a request that has its threads to itself.
    double run_time(const ActiveRequest& request) const {
        return request.work / settings_->classes[request.class_index].threads;
    }

private:
    bool learns_memory() const;
    LatencyStream& stream_of(const ActiveRequest& request);
    void refit_stream(LatencyStream& stream, std::size_t class_index, Micros now);

    const PolicySettings* settings_;
    std::size_t tenant_count_;
    std::vector<ClassStatistics> classes_;
    std::vector<LatencyStream> streams_;  // by class, then by tenant
    UsualQuery usual_;
};

}  // namespace gatetiller::policy
