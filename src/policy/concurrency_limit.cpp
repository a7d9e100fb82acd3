#include "policy/concurrency_limit.hpp"

#include <algorithm>

#include "policy/smoothing.hpp"

namespace gatetiller::policy {
namespace {

constexpr double kLeastThreadsLimit = 2;         // minimum of this gateway's share of an endpoint
constexpr double kOverloadThreadsPerCore = 2.5;  // reported; no dispatch above it
constexpr double kUsableMemoryShare = 0.95;
constexpr double kCountedMemoryShare = 0.75;  // share of the usual need of other gateways' queries
constexpr double kCrawlSlowdown = 4;     // of running attempts, at which reports of free capacity are ignored
constexpr double kCalmContention = 1.3;  // the share grows below it
constexpr double kHighContention = 1.7;  // the share shrinks above it
constexpr double kFewLate = 0.1;         // share of late attempts below which this gateway's share grows
constexpr double kManyLate = 0.3;        // share of late attempts above which this gateway's share shrinks
constexpr double kPartGrowth = 1.25;     // per second
constexpr double kPartDecrease = 0.7;    // per second

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

RoomVerdict ConcurrencyLimit::check(const RoomInput& input, const EndpointStatus& endpoint) {
    const Fleet& fleet = input.fleet;
    const UsualQuery& usual = input.usual;
    const Micros now = input.now;
    if (endpoint.health.pauses(input.class_index, now))
        return RoomVerdict::paused;
    // The endpoint may still run work that no gateway counts, left by attempts that timed out or by a gateway
    // that stopped.
    const double queries = fleet.queries_at(endpoint, usual, now);
    if (queries * usual.threads > kOverloadThreadsPerCore * endpoint.cores)
        return RoomVerdict::overloaded;
    // Without recent reports the number of other queries is a guess, which must not count against memory.
    const double others = fleet.other_queries(endpoint, queries);
    const double used_mb =
        endpoint.expected_mb +
        (fleet.has_recent_report(now) ? kCountedMemoryShare * others * usual.memory_mb : 0);
    if (endpoint.memory_mb > 0 && used_mb > 0 &&
        used_mb + input.memory_mb > kUsableMemoryShare * endpoint.memory_mb)
        return RoomVerdict::memory_full;
    const double threads = endpoint.threads + input.threads;
    if (!Fleet::under_pressure(endpoint, now) &&
        threads + others * usual.threads <= kSaturationThreadsPerCore * endpoint.cores)
        return RoomVerdict::room;
    // With more gateways than threads, the share of one endpoint is less than one query, so the limit also
    // applies to the fleet. Sensitive queries are exempt from that limit while reports show the fleet below
    // its saturation point; best-effort queries wait while the fleet is above its limit. An overloaded
    // endpoint sends no reports, so very slow progress of running attempts also means no free capacity.
    const double part = kThreadsPerCoreLimit / input.settings.instance_count * part_factor_;
    const double fleet_threads_per_core = fleet.threads_per_core(now);
    if (!input.sensitive && fleet_threads_per_core > kThreadsPerCoreLimit)
        return RoomVerdict::fleet_busy;
    const bool fleet_has_room =
        fleet_threads_per_core < kSaturationThreadsPerCore && fleet.running_slowdown() < kCrawlSlowdown;
    if (!(input.sensitive && fleet_has_room) && attempts_[input.sensitive ? 1 : 0] > 0 &&
        threads_ + input.threads > part * fleet.cores()) {
        part_was_binding_ = true;
        return RoomVerdict::fleet_part_used;
    }
    const bool within_part =
        endpoint.open_attempts.empty() || threads <= std::max(kLeastThreadsLimit, part * endpoint.cores);
    return within_part ? RoomVerdict::room : RoomVerdict::endpoint_part_used;
}

void ConcurrencyLimit::observe_contention(double run_over_calm) {
    smooth(contention_, run_over_calm);
}

void ConcurrencyLimit::observe_late(bool late) {
    smooth(late_share_, late ? 1 : 0);
}

void ConcurrencyLimit::adjust(const PolicySettings& settings) {
    if (settings.load_report_source != LoadReportSource::none)
        return;
    if (contention_ > kHighContention || late_share_ > kManyLate)
        part_factor_ = std::max(1.0, part_factor_ * kPartDecrease);
    else if (part_was_binding_ && contention_ < kCalmContention && late_share_ < kFewLate)
        part_factor_ = std::min(part_factor_ * kPartGrowth, 1.0 * settings.instance_count);
    part_was_binding_ = false;
}

}  // namespace gatetiller::policy
