// Limits concurrent queries by threads per core, memory, and this gateway's share of the limit.
//
// A query is admitted while all gateways' threads at the endpoint stay below its saturation point. Above it,
// this gateway keeps to its share of two threads per core, at each endpoint and over the fleet. If no
// endpoint reports its load, the share grows while it limits dispatch and run times show no contention, and
// shrinks when they do. Times are in microseconds, memory in megabytes.
#pragma once

#include <array>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/fleet.hpp"
#include "policy/settings.hpp"
#include "policy/workload_statistics.hpp"

namespace gatetiller::policy {

// Concurrency limit of an endpoint for all gateways together.
constexpr double kThreadsPerCoreLimit = 2;

// Whether an endpoint has capacity for one more query, and if not, the reason.
enum class CapacityVerdict {
    available,
    paused,      // rejected such a query recently
    overloaded,  // far above its limit, by work that no gateway counts
    memory_full,
    fleet_busy,               // best-effort queries wait until the fleet is below its limit
    fleet_share_exhausted,    // this gateway's share of the fleet
    endpoint_share_exhausted  // this gateway's share of the endpoint
};

struct CapacityInput {
    const PolicySettings& settings;
    const Fleet& fleet;
    const TypicalQuery& typical_query;
    Micros now = 0;
    int class_index = 0;
    bool sensitive = false;
    double threads = 1;    // of the query
    double memory_mb = 0;  // of the query
};

class ConcurrencyLimit {
public:
    // Counts an attempt against this gateway's share.
    void add(const Attempt& attempt);
    // Stops counting an attempt. Has no effect if called again.
    void remove(Attempt& attempt);

    // Returns whether an endpoint has capacity for a query. Also records, until the next `adjust`, that the
    // share of the fleet was exhausted.
    CapacityVerdict check(const CapacityInput& input, const EndpointStatus& endpoint);

    // Records the ratio of a run time to that of an endpoint without contention.
    void observe_contention(double contention);
    // Records whether an attempt exceeded its latency objective by its run time alone.
    void observe_late(bool late);
    // Adjusts this gateway's share if no endpoint reports its load. To be called once per second.
    void adjust(const PolicySettings& settings);

private:
    double threads_ = 0;
    std::array<int, 2> attempts_{};    // best-effort, sensitive
    double share_factor_ = 1;          // share as a multiple of an even split between gateways; at least 1
    double contention_ = 1;            // mean ratio of run times to those without contention
    double late_share_ = 0;            // share of attempts that were late
    bool share_was_limiting_ = false;  // since the last adjustment
};

}  // namespace gatetiller::policy
