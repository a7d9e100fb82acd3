// Cost statistics of requests by class and of the typical query, and the latency streams by class and tenant.
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
    static constexpr double kUnknownRunTimeRatio = 1e12;

    double work_ratio = 1;            // ratio of actual work to estimate
    double memory_ratio = 1;          // ratio of actual memory to estimate
    double work = 0;                  // typical work; 0: unknown
    double estimated_work = 0;        // typical estimate; 0: none received
    Micros first_unestimated_at = 0;  // arrival time of the first request without an estimate
    double estimates = 0;             // number of estimates received
    double responses = 0;             // number of responses with a run time
    double run_time_ratio = 1;        // typical ratio of thread time to known work
    double uncontended_run_time_ratio = kUnknownRunTimeRatio;  // lowest value of that ratio
    bool sensitive = false;                                    // whether the typical run time is short
};

// Means over queries of all classes, weighted by run time.
struct TypicalQuery {
    double run_time = 0;
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
    // `settings` must outlive this object.
    explicit WorkloadStatistics(const PolicySettings& settings);

    // Records the estimate of an arrival and returns the expected cost of the request.
    CostEstimate estimate(const RequestArrived& arrival, int class_index, Micros now);
    // Returns the latest dispatch time with which a request that arrives now meets the latency budget of its
    // stream.
    Micros dispatch_by(const ActiveRequest& request, Micros now);
    // Includes a request in the statistics of the typical query.
    void add_to_typical_query(const ActiveRequest& request);

    // Updates the work and memory of the class from an attempt that succeeded.
    void learn_cost(const ActiveRequest& request, const Attempt& attempt, const AttemptCompleted& completed);
    // Updates the run time of the class from an attempt that succeeded. Returns the ratio of the run time to
    // that without contention, or nothing while the latter is unknown.
    std::optional<double> learn_run_time(const ActiveRequest& request, const Attempt& attempt,
                                         const AttemptCompleted& completed);
    // Updates the memory of the class from an attempt that spilled because `missing_mb` were missing.
    // `even_share_mb`: the share of the endpoint's memory that corresponds to the attempt's threads at the
    // concurrency limit. The spill of a larger grant is ignored.
    void learn_spill(const ActiveRequest& request, const Attempt& attempt, double missing_mb,
                     double even_share_mb);
    // Adds a response to the latency stream of its request.
    void add_response(const ActiveRequest& request, Micros run_time, Micros now);

    // Fits all streams and decides which classes are sensitive.
    void refit(Micros now);
    // Increases the run times without contention slightly, so that they adapt to a lasting change. To be
    // called once per second.
    void relax_uncontended_run_times();
    // Returns the summary of the sensitive streams with enough samples, or nothing if there are none.
    std::optional<SensitiveStreamSummary> summarize_sensitive_streams() const;

    const ClassStatistics& class_statistics(const ActiveRequest& request) const {
        return classes_[request.class_index];
    }
    const std::vector<ClassStatistics>& classes() const {
        return classes_;
    }
    const TypicalQuery& typical_query() const {
        return typical_query_;
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
    TypicalQuery typical_query_;
};

}  // namespace gatetiller::policy
