// Cost statistics of requests by class and of the usual query, and the latency streams by class and tenant.
//
// The statistics of a class follow the work and memory that completed attempts report. If responses report no
// work, they follow run times, or estimates times a learned ratio. Times are in microseconds, work in
// microseconds of one core, memory in megabytes.
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

    double work_ratio = 1;                 // ratio of actual work to estimate
    double memory_ratio = 1;               // ratio of actual memory to estimate
    double work = 0;                       // usual work; 0: unknown
    double estimated_work = 0;             // usual estimate; 0: none received
    Micros first_unestimated_at = 0;       // arrival time of the first request without an estimate
    double estimates = 0;                  // number of estimates received
    double answers = 0;                    // number of responses with a run time
    double run_ratio = 1;                  // usual ratio of thread time to known work
    double calm_run_ratio = kNoCalmRatio;  // lowest value of that ratio, without contention
    bool sensitive = false;                // whether the usual run time is short
};

// Means over queries of all classes, weighted by run time.
struct UsualQuery {
    double run = 0;
    double work = 0;
    double memory_mb = 0;
    double threads = 1;
};

// Expected cost of one request.
struct CostEstimate {
    double work = 0;
    double estimated_work = 0;  // as received; 0: not received
    double memory_mb = 0;
    double estimated_memory_mb = 0;
};

class WorkloadStatistics {
public:
    // `settings` outlives it.
    explicit WorkloadStatistics(const PolicySettings& settings);

    // Records the estimate of an arrival and returns the expected cost of the request.
    CostEstimate estimate(const RequestArrived& arrival, int class_index, Micros now);
    // Returns the latest dispatch time with which a request that arrives now meets the latency budget of its
    // stream.
    Micros dispatch_by(const ActiveRequest& request, Micros now);
    // Includes a request in the statistics of the usual query.
    void count_usual(const ActiveRequest& request);

    // Updates the work and memory of the class from an attempt that succeeded.
    void learn_cost(const ActiveRequest& request, const Attempt& attempt, const AttemptCompleted& completed);
    // Updates the run time of the class from an attempt that succeeded. Returns the ratio of the run time to
    // that without contention, or nothing while the latter is unknown.
    std::optional<double> learn_run(const ActiveRequest& request, const Attempt& attempt,
                                    const AttemptCompleted& completed);
    // Updates the memory of the class from an attempt that spilled because `missing_mb` were missing.
    // `even_share_mb`: the share of the endpoint's memory that corresponds to the attempt's threads at the
    // concurrency limit. The spill of a larger grant is ignored.
    void learn_spill(const ActiveRequest& request, const Attempt& attempt, double missing_mb,
                     double even_share_mb);
    // Adds a response to the latency stream of its request.
    void add_answer(const ActiveRequest& request, Micros run, Micros now);

    // Fits all streams and decides which classes are sensitive.
    void refit(Micros now);
    // Increases the run times without contention slightly, so that they adapt to a lasting change. To be
    // called once per second.
    void relax_calm_runs();
    // Returns the summary of the sensitive streams with enough samples, or nothing if there are none.
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
    // Returns the expected run time of a request without contention for its threads.
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
    std::vector<LatencyStream> streams_;  // indexed by class, then by tenant
    UsualQuery usual_;
};

}  // namespace gatetiller::policy
