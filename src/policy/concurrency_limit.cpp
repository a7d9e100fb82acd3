#include "policy/concurrency_limit.hpp"

#include <algorithm>

#include "policy/smoothing.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kMinEndpointThreads = 2;        // minimum of this gateway's share of an endpoint
constexpr double kOverloadThreadsPerCore = 2.5;  // reported; no dispatch above it
constexpr double kUsableMemoryShare = 0.95;
constexpr double kCountedMemoryShare = 0.75;  // share of the typical need of other gateways' queries
constexpr double kIgnoreReportsSlowdown = 4;  // of running attempts; above it, load reports are ignored
constexpr double kLowContention = 1.3;        // the share grows below it
constexpr double kHighContention = 1.7;       // the share shrinks above it
constexpr double kLowLateShare = 0.1;         // share of late attempts below which this gateway's share grows
constexpr double kHighLateShare = 0.3;  // share of late attempts above which this gateway's share shrinks
constexpr double kShareGrowth = 1.25;   // per second
constexpr double kShareDecrease = 0.7;  // per second

}  // namespace

void ConcurrencyLimit::add(const Attempt& attempt) {
    threads_ += attempt.threads;
    attempts_[attempt.sensitive ? 1 : 0] += 1;
}

void ConcurrencyLimit::remove(Attempt& attempt) {
    if (!attempt.counted)
        return;
    attempt.counted = false;
    threads_ -= attempt.threads;
    attempts_[attempt.sensitive ? 1 : 0] -= 1;
}

CapacityVerdict ConcurrencyLimit::check(const CapacityInput& input, const EndpointStatus& endpoint) {
    const Fleet& fleet = input.fleet;
    const TypicalQuery& typical_query = input.typical_query;
    const Micros now = input.now;
    if (endpoint.health.pauses(input.class_index, now))
        return CapacityVerdict::paused;
    // The endpoint may still run work that no gateway counts, left by attempts that timed out or by a gateway
    // that stopped.
    const double queries = fleet.queries_at(endpoint, typical_query, now);
    if (queries * typical_query.threads > kOverloadThreadsPerCore * endpoint.cores)
        return CapacityVerdict::overloaded;
    // Without recent reports the number of other queries is a guess, which must not count against memory.
    const double other_queries = fleet.other_queries(endpoint, queries);
    const double used_mb =
        endpoint.expected_mb +
        (fleet.has_recent_report(now) ? kCountedMemoryShare * other_queries * typical_query.memory_mb : 0);
    if (endpoint.memory_mb > 0 && used_mb > 0 &&
        used_mb + input.memory_mb > kUsableMemoryShare * endpoint.memory_mb)
        return CapacityVerdict::memory_full;
    const double threads = endpoint.threads + input.threads;
    if (!Fleet::is_congested(endpoint, now) &&
        threads + other_queries * typical_query.threads <= kSaturationThreadsPerCore * endpoint.cores)
        return CapacityVerdict::available;
    // With more gateways than threads, the share of one endpoint is less than one query, so the limit also
    // applies to the fleet. Sensitive queries are exempt from that limit while reports show the fleet below
    // its saturation point; best-effort queries wait while the fleet is above its limit. An overloaded
    // endpoint sends no reports, so very slow progress of running attempts also means no free capacity.
    const double share = kThreadsPerCoreLimit / input.settings.instance_count * share_factor_;
    const double fleet_threads_per_core = fleet.threads_per_core(now);
    if (!input.sensitive && fleet_threads_per_core > kThreadsPerCoreLimit)
        return CapacityVerdict::fleet_busy;
    const bool fleet_has_capacity = fleet_threads_per_core < kSaturationThreadsPerCore &&
                                    fleet.running_slowdown() < kIgnoreReportsSlowdown;
    if (!(input.sensitive && fleet_has_capacity) && attempts_[input.sensitive ? 1 : 0] > 0 &&
        threads_ + input.threads > share * fleet.cores()) {
        share_was_limiting_ = true;
        return CapacityVerdict::fleet_share_exhausted;
    }
    const bool within_share =
        endpoint.open_attempts.empty() || threads <= std::max(kMinEndpointThreads, share * endpoint.cores);
    return within_share ? CapacityVerdict::available : CapacityVerdict::endpoint_share_exhausted;
}

void ConcurrencyLimit::observe_contention(double contention) {
    smooth(contention_, contention);
}

void ConcurrencyLimit::observe_late(bool late) {
    smooth(late_share_, late ? 1 : 0);
}

void ConcurrencyLimit::adjust(const PolicySettings& settings) {
    if (settings.load_report_source != LoadReportSource::none)
        return;
    if (contention_ > kHighContention || late_share_ > kHighLateShare)
        share_factor_ = std::max(1.0, share_factor_ * kShareDecrease);
    else if (share_was_limiting_ && contention_ < kLowContention && late_share_ < kLowLateShare)
        share_factor_ = std::min(share_factor_ * kShareGrowth, 1.0 * settings.instance_count);
    share_was_limiting_ = false;
}

}  // namespace gatetiller::policy
