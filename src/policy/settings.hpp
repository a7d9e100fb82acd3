// Settings of one gateway's policy: the traffic classes, the tenants, the kinds of endpoints, and what the
// platform around the gateway can do. Plain data. Times are microseconds, memory is megabytes, shares lie in
// [0, 1]. A field that is left at its default switches its feature off unless its comment says otherwise.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller {

// Whether executing a request twice does harm.
enum class Idempotency {
    idempotent,     // may execute any number of times
    keyed,          // endpoints drop a repeat within `key_scope` and `key_window`
    non_idempotent  // must not execute twice
};

// Which endpoints drop the repeat of a keyed request: all, those of the first one's zone, or of its cell.
enum class KeyScope {
    all,
    zone,
    cell
};

// What an endpoint does with a query that asks for more memory than is free.
enum class MemoryShortagePolicy {
    queue,  // it waits at the endpoint
    trim,   // it gets less and spills to disk
    swap    // it gets all it needs, and everything there slows down
};

// Where load reports come from.
enum class LoadReportSource {
    none,
    responses,
    health_checks
};

// One traffic class.
struct ClassSettings {
    std::string name;
    Micros latency_objective = 0;     // an answer within it has its full value; required
    double objective_run_factor = 0;  // the objective grows by this times the request's expected run time
    Micros deadline = 0;              // an answer after it has no value; at least the objective; required
    Idempotency idempotency = Idempotency::non_idempotent;
    KeyScope key_scope = KeyScope::cell;
    Micros key_window = 0;        // keyed only: how long repeats are dropped
    double late_value_share = 0;  // value left between objective and deadline
    double priority_weight = 1;   // value of one answer in time
    bool ordered_by_key = false;  // requests with one ordering key run one after another
    std::optional<std::vector<std::string>> allowed_kinds;  // absent: all kinds of endpoints
    std::optional<std::vector<std::string>> allowed_zones;  // absent: all zones
    double threads = 1;                                     // threads of an endpoint that one query uses
    bool locks_table_group = false;     // a load: locks its table group on its endpoint while it runs
    bool waits_for_table_lock = false;  // stands still while a load locks its table group
};

// One tenant.
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests per second over all gateways; 0: no quota
    double fair_share = 0;   // weight in the division of best-effort slots
};

// One kind of endpoint (instance type).
struct EngineKindSettings {
    std::string name;
    double cores = 0;
    double memory_mb = 0;
};

// Everything that one gateway's policy is configured with.
struct PolicySettings {
    std::vector<ClassSettings> classes;  // at least one
    std::vector<TenantSettings> tenants;
    std::vector<EngineKindSettings> kinds;
    std::string zone;                // of this gateway
    int instance_index = 0;          // of this gateway among `instance_count`
    int instance_count = 1;          // gateways that share the endpoints; at least 1
    bool watches_endpoints = false;  // the endpoint list is subscribed to by WatchEndpoints
    bool weight_by_work = false;     // the value of an answer is counted by its work, not by request
    double over_quota_weight = 1;    // priority weight of a request over its tenant's quota, as a factor
    double max_memory_share = 1;     // of an endpoint's memory, for one query's grant
    bool supports_memory_grants = false;
    bool supports_priorities = false;
    bool cost_in_responses = false;  // completed attempts tell their work and memory
    Micros progress_period = 0;      // of progress notes of a running attempt; 0: none are sent
    MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::queue;
    LoadReportSource load_report_source = LoadReportSource::none;
    double health_check_price = 0;
    double cross_zone_price = 0;     // of an attempt in another zone; above 0 the own zone is preferred
    bool can_cancel = false;         // a cancelled attempt stops working
    bool can_hedge = false;          // a second copy may run beside the first; not used
    bool can_health_check = false;   // CheckHealth is answered
    bool can_broadcast = false;      // BroadcastToPeers is delivered; not used
    bool sends_retry_after = false;  // a shed request's answer carries a time after which to retry
    Micros max_retry_after = 0;      // the largest such time
    int max_attempts = 1;            // for one request
    // Parameters of the seven rules (docs/architecture.md).
    Micros response_grace = 0;
    Micros watch_deadline = 0;             // by when a lost subscription must be asked for again
    Micros drain_grace = 0;                // how long a draining endpoint may still get requests
    double slow_start_capacity_share = 0;  // capacity of an endpoint that has just started
    Micros slow_start_window = 0;          // from its start to full capacity
    double overload_factor = 0;            // work over capacity at which a starting endpoint fails
    Micros overload_window = 0;            // over which that work is counted
    // A request's later attempts within `retry_budget_window` are at most base + ratio x requests arrived.
    // With either absent they are not limited.
    std::optional<double> retry_budget_base;
    std::optional<double> retry_budget_ratio;
    Micros retry_budget_window = 0;
    Micros key_order_gap = 0;  // pause of an ordering key after an attempt that may still be running
};

}  // namespace gatetiller
