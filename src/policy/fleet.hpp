// The endpoints, what runs on each, what they report, and how loaded the fleet is.
//
// An endpoint's index is its own for the policy's life. Load reports count for three seconds or for as long
// as what they count takes to run; then the fleet's mean takes their place. Times are microseconds, memory is
// megabytes.
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

// Threads a core at which an endpoint's throughput stops growing.
constexpr double kSaturationThreadsPerCore = 1.5;
// How long a load report counts as recent.
constexpr Micros kReportLifetime = 3 * kSecondMicros;
// Least time between two health checks of an endpoint.
constexpr Micros kHealthCheckInterval = kSecondMicros;

// An open attempt: its request's slot and its number there.
struct AttemptRef {
    int slot = 0;
    int attempt = 0;

    bool operator==(const AttemptRef&) const = default;
};

// One endpoint.
struct EndpointStatus {
    Endpoint description;
    bool listed = false;
    double cores = 1;
    double memory_mb = 0;  // 0: not known
    // Of this gateway's attempts there.
    std::vector<AttemptRef> open_attempts;
    double threads = 0;
    double expected_mb = 0;
    // Its last load report.
    LoadReport report;
    Micros reported_at = -kReportLifetime;
    int open_at_report = 0;  // this gateway's attempts there at that time
    double slowdown = 1;     // run time over expected run time
    Micros last_alive = 0;   // last answer or note
    Micros health_checked_at = 0;
    EndpointHealth health;
    SlowStartUse slow_start;

    bool takes_requests() const {
        return listed && description.state == EndpointState::ready;
    }
    bool accepts(Micros now) const {
        return health.accepts(now, open_attempts.empty());
    }
};

class Fleet {
public:
    static constexpr int kNotFound = -1;

    // `settings` outlives it.
    explicit Fleet(const PolicySettings& settings);

    // Takes a change of the endpoint list. A new start time of an endpoint means a new process.
    void update(const EndpointUpdate& update, Micros now, RandomSource& random);
    // Index of the endpoint with this id, or kNotFound.
    int find(EngineId id) const;

    void add_attempt(int endpoint, AttemptRef ref, const Attempt& attempt);
    void remove_attempt(int endpoint, AttemptRef ref, const Attempt& attempt);
    // Takes a load report, if there is one, as a sign of life.
    void observe_report(int endpoint, const std::optional<LoadReport>& report, const UsualQuery& usual,
                        Micros now);
    // Takes the slowdown of an attempt that succeeded.
    void observe_completion(int endpoint, double slowdown);
    // Takes the slowdown of an attempt that runs.
    void observe_progress(int endpoint, double slowdown);
    // Lets an endpoint's slowdown fade over ten seconds; `elapsed` is the time since the last call.
    static void decay_slowdown(EndpointStatus& endpoint, Micros elapsed);

    // Queries on an endpoint of all gateways, as its last report and the fleet's mean tell.
    double queries_at(const EndpointStatus& endpoint, const UsualQuery& usual, Micros now) const;
    // Those of other gateways, of `queries` on it in all.
    double other_queries(const EndpointStatus& endpoint, double queries) const;
    // Whether an endpoint is slow or reports that it is busy.
    static bool under_pressure(const EndpointStatus& endpoint, Micros now);
    // Whether an endpoint's recent report tells of no load that would explain a rejection.
    bool reports_room(const EndpointStatus& endpoint, const UsualQuery& usual, Micros now) const;

    // Whether any endpoint has reported recently.
    bool has_recent_report(Micros now) const {
        return last_report_at_ && now - *last_report_at_ <= kReportLifetime;
    }
    // Mean threads a core; the saturation point while nothing reports.
    double threads_per_core(Micros now) const {
        return has_recent_report(now) ? threads_per_core_ : kSaturationThreadsPerCore;
    }
    // Mean run time over expected run time, at least 1: what all share is no endpoint's fault.
    double usual_slowdown() const {
        return std::max(1.0, completed_slowdown_);
    }
    // The same, with what still runs.
    double running_slowdown() const {
        return running_slowdown_;
    }
    // Of the listed endpoints.
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
    double threads_per_core_ = kSaturationThreadsPerCore;  // mean of the last ten reports or so
    double completed_slowdown_ = 1;
    double running_slowdown_ = 1;
    double cores_ = 0;
    std::optional<Micros> last_report_at_;
};

}  // namespace gatetiller::policy
