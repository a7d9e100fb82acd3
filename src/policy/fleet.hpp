// The endpoints with their open attempts, load reports and health, and the load of the fleet.
//
// The index of an endpoint never changes while the policy exists. A load report fades into the mean of the
// fleet over three seconds, or over the time that the reported queries take to run if that is longer. Times
// are in microseconds, memory in megabytes.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "policy/events.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/random_source.hpp"
#include "policy/settings.hpp"
#include "policy/slow_start.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// Threads per core above which the throughput of an endpoint no longer grows.
constexpr double kSaturationThreadsPerCore = 1.5;
// Time for which a load report is recent.
constexpr Micros kReportLifetime = 3 * kSecondMicros;
// Minimum time between two health checks of an endpoint.
constexpr Micros kHealthCheckInterval = kSecondMicros;

// Reference to an open attempt: the slot of its request and its index there.
struct AttemptRef {
    int slot = 0;
    int attempt = 0;

    bool operator==(const AttemptRef&) const = default;
};

// State of one endpoint.
struct EndpointStatus {
    Endpoint description;
    bool listed = false;
    double cores = 1;
    double memory_mb = 0;  // 0: unknown
    // Open attempts of this gateway, and their total threads and expected memory.
    std::vector<AttemptRef> open_attempts;
    double threads = 0;
    double expected_mb = 0;
    // Last load report, and when it was received.
    LoadReport report;
    Micros reported_at = -kReportLifetime;
    int open_attempts_at_report = 0;  // open attempts of this gateway at that time
    double slowdown = 1;              // mean ratio of run times to expected run times
    Micros last_active_at = 0;        // time of the last response, load report or progress message
    Micros health_checked_at = 0;
    EndpointHealth health;
    SlowStartUsage slow_start;

    bool is_ready() const {
        return listed && description.state == EndpointState::ready;
    }
    bool accepts(Micros now) const {
        return health.accepts(now, open_attempts.empty());
    }
};

class Fleet {
public:
    static constexpr int kNotFound = -1;

    // `settings` must outlive this object.
    explicit Fleet(const PolicySettings& settings);

    // Applies an endpoint list update. A later start time of an endpoint means a new process, whose health
    // and slowdown are reset.
    void update(const EndpointUpdate& update, Micros now, RandomSource& random);
    // Returns the index of the endpoint with this id, or kNotFound.
    int find(EngineId id) const;

    void add_attempt(int endpoint, AttemptRef ref, const Attempt& attempt);
    void remove_attempt(int endpoint, AttemptRef ref, const Attempt& attempt);
    // Marks the endpoint as alive, and records its load report if there is one.
    void observe_report(int endpoint, const std::optional<LoadReport>& report,
                        const TypicalQuery& typical_query, Micros now);
    // Records the slowdown of an attempt that succeeded.
    void observe_completion(int endpoint, double slowdown);
    // Records the slowdown of a running attempt.
    void observe_progress(int endpoint, double slowdown);
    // Decays an endpoint's slowdown towards 1 with a time constant of ten seconds. `elapsed` is the time
    // since the last call.
    static void decay_slowdown(EndpointStatus& endpoint, Micros elapsed);

    // Returns the estimated number of all gateways' queries at an endpoint, from its last load report and the
    // mean of the fleet.
    double queries_at(const EndpointStatus& endpoint, const TypicalQuery& typical_query, Micros now) const;
    // Returns how many of all `queries` at an endpoint belong to other gateways.
    double other_queries(const EndpointStatus& endpoint, double queries) const;
    // Returns whether an endpoint is slow or recently reported that it is busy.
    static bool is_congested(const EndpointStatus& endpoint, Micros now);
    // Returns whether an endpoint recently reported a load too low to explain a rejection.
    bool reports_free_capacity(const EndpointStatus& endpoint, const TypicalQuery& typical_query,
                               Micros now) const;

    // Returns whether any endpoint has reported its load recently.
    bool has_recent_report(Micros now) const {
        return last_report_at_ && now - *last_report_at_ <= kReportLifetime;
    }
    // Mean threads per core, or the saturation point if there is no recent load report.
    double threads_per_core(Micros now) const {
        return has_recent_report(now) ? threads_per_core_ : kSaturationThreadsPerCore;
    }
    // Mean ratio of run times to expected run times, at least 1. Endpoints are compared with it, so that a
    // slowdown of the whole fleet is attributed to none of them.
    double mean_slowdown() const {
        return std::max(1.0, completed_slowdown_);
    }
    // Mean slowdown that also includes running attempts.
    double running_slowdown() const {
        return running_slowdown_;
    }
    // Total cores of the listed endpoints.
    double cores() const {
        return cores_;
    }

    std::vector<EndpointStatus>& endpoints() {
        return endpoints_;
    }
    const std::vector<EndpointStatus>& endpoints() const {
        return endpoints_;
    }
    EndpointStatus& operator[](int endpoint) {
        return endpoints_[endpoint];
    }
    const EndpointStatus& operator[](int endpoint) const {
        return endpoints_[endpoint];
    }

private:
    EndpointStatus& find_or_add(EngineId id, Micros now, RandomSource& random);

    const PolicySettings* settings_;
    std::vector<EndpointStatus> endpoints_;
    std::map<EngineId, int> index_by_id_;
    double threads_per_core_ = kSaturationThreadsPerCore;  // moving average over about ten reports
    double completed_slowdown_ = 1;
    double running_slowdown_ = 1;
    double cores_ = 0;
    std::optional<Micros> last_report_at_;
};

}  // namespace gatetiller::policy
