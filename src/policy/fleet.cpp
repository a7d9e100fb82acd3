#include "policy/fleet.hpp"

#include <algorithm>

#include "policy/smoothing.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kCongestedSlowdown = 2;  // ratio to the expected run time above which an endpoint is slow
constexpr double kBusyShare = 0.9;        // reported share of cores, disks or memory that counts as busy
constexpr double kReportWeight = 0.1;     // weight of one report in the mean threads per core
constexpr Micros kSlowdownDecayTime = 10 * kSecondMicros;

}  // namespace

Fleet::Fleet(const PolicySettings& settings) : settings_(&settings) {}

EndpointStatus& Fleet::find_or_add(EngineId id, Micros now, RandomSource& random) {
    const auto [entry, added] = index_by_id_.try_emplace(id, static_cast<int>(endpoints_.size()));
    if (!added)
        return endpoints_[entry->second];
    EndpointStatus& endpoint = endpoints_.emplace_back();
    endpoint.last_active_at = now;
    // Spreads the first health checks of gateways that start at the same time.
    endpoint.health_checked_at = now - static_cast<Micros>((1 + random.uniform()) * kHealthCheckInterval);
    return endpoint;
}

void Fleet::update(const EndpointUpdate& update, Micros now, RandomSource& random) {
    if (update.kind == EndpointUpdateKind::full || update.kind == EndpointUpdateKind::cached)
        for (EndpointStatus& endpoint : endpoints_)
            endpoint.listed = false;
    for (const Endpoint& description : update.endpoints) {
        EndpointStatus& endpoint = find_or_add(description.id, now, random);
        if (description.started_at > endpoint.description.started_at) {
            endpoint.health.reset();
            endpoint.slowdown = 1;
        }
        endpoint.description = description;
        endpoint.listed = description.state != EndpointState::removed;
        for (const EngineKindSettings& kind : settings_->kinds) {
            if (kind.name != description.kind)
                continue;
            endpoint.cores = std::max(1.0, kind.cores);
            endpoint.memory_mb = kind.memory_mb;
        }
    }
    cores_ = 0;
    for (const EndpointStatus& endpoint : endpoints_)
        cores_ += endpoint.listed ? endpoint.cores : 0;
}

int Fleet::find(EngineId id) const {
    const auto found = index_by_id_.find(id);
    return found == index_by_id_.end() ? kNotFound : found->second;
}

void Fleet::add_attempt(int endpoint, AttemptRef ref, const Attempt& attempt) {
    EndpointStatus& status = endpoints_[endpoint];
    status.open_attempts.push_back(ref);
    status.threads += attempt.threads;
    status.expected_mb += attempt.memory_mb;
}

void Fleet::remove_attempt(int endpoint, AttemptRef ref, const Attempt& attempt) {
    EndpointStatus& status = endpoints_[endpoint];
    std::erase(status.open_attempts, ref);
    status.threads -= attempt.threads;
    status.expected_mb -= attempt.memory_mb;
}

void Fleet::observe_report(int endpoint, const std::optional<LoadReport>& report,
                           const TypicalQuery& typical_query, Micros now) {
    EndpointStatus& status = endpoints_[endpoint];
    status.last_active_at = now;
    if (!report)
        return;
    status.report = *report;
    status.reported_at = now;
    last_report_at_ = now;
    std::optional<double>& queries = status.report.running_queries;
    if (!queries && report->busy_cores_share)  // assumes that busy cores are saturated
        queries = *report->busy_cores_share / kBusyShare * kSaturationThreadsPerCore * status.cores /
                      typical_query.threads +
                  report->queue_depth.value_or(0);
    if (queries)
        smooth(threads_per_core_, *queries * typical_query.threads / status.cores, kReportWeight);
    status.open_attempts_at_report = static_cast<int>(status.open_attempts.size());
}

void Fleet::observe_completion(int endpoint, double slowdown) {
    smooth(endpoints_[endpoint].slowdown, slowdown);
    smooth(completed_slowdown_, slowdown);
    smooth(running_slowdown_, slowdown);
}

void Fleet::observe_progress(int endpoint, double slowdown) {
    smooth(endpoints_[endpoint].slowdown, slowdown);
    smooth(running_slowdown_, slowdown);
}

void Fleet::decay_slowdown(EndpointStatus& endpoint, Micros elapsed) {
    smooth(endpoint.slowdown, 1, static_cast<double>(elapsed) / kSlowdownDecayTime);
}

double Fleet::queries_at(const EndpointStatus& endpoint, const TypicalQuery& typical_query,
                         Micros now) const {
    const double fleet_mean = threads_per_core(now) * endpoint.cores / typical_query.threads;
    const double reported = endpoint.report.running_queries.value_or(fleet_mean);
    // The report fades into the mean of the fleet over the time that the reported queries take to run.
    const double lifetime = std::max<double>(kReportLifetime, reported * typical_query.work / endpoint.cores);
    const auto age = static_cast<double>(now - endpoint.reported_at);
    return reported + (fleet_mean - reported) * std::min(1.0, age / lifetime);
}

double Fleet::other_queries(const EndpointStatus& endpoint, double queries) const {
    return settings_->instance_count < 2 ? 0 : std::max(0.0, queries - endpoint.open_attempts_at_report);
}

bool Fleet::is_congested(const EndpointStatus& endpoint, Micros now) {
    if (endpoint.slowdown > kCongestedSlowdown)
        return true;
    if (now - endpoint.reported_at > kReportLifetime)
        return false;
    const LoadReport& report = endpoint.report;
    return report.busy_cores_share.value_or(0) > kBusyShare ||
           report.busy_disks_share.value_or(0) > kBusyShare ||
           report.granted_memory_share.value_or(0) > kBusyShare || report.queue_depth.value_or(0) >= 1;
}

bool Fleet::reports_free_capacity(const EndpointStatus& endpoint, const TypicalQuery& typical_query,
                                  Micros now) const {
    if (now - endpoint.reported_at > kReportLifetime || !endpoint.report.running_queries)
        return false;
    return !is_congested(endpoint, now) && queries_at(endpoint, typical_query, now) * typical_query.threads <=
                                               kSaturationThreadsPerCore * endpoint.cores;
}

}  // namespace gatetiller::policy
