// Settings of one gateway's policy: traffic classes, tenants, kinds of endpoints, and the capabilities of the
// platform. Plain data. Times are in microseconds, memory in megabytes, shares in [0, 1]. The default value
// of a field disables its feature unless its comment says otherwise.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller {

// Whether a request may be executed more than once.
enum class Idempotency {
    idempotent,     // may execute any number of times
    keyed,          // endpoints drop a repeat within `key_scope` and `key_window`
    non_idempotent  // must not execute twice
};

// Endpoints that drop the repeat of a keyed request: all, or those in the zone or cell of the endpoint that
// executed it first.
enum class KeyScope {
    all,
    zone,
    cell
};

// How an endpoint handles a query that requests more memory than is free.
enum class MemoryShortagePolicy {
    queue,  // the query waits at the endpoint
    trim,   // the query gets less memory and spills to disk
    swap    // the query gets all the memory it needs, and all queries there slow down
};

// Source of load reports.
enum class LoadReportSource {
    none,
    responses,
    health_checks
};

// One traffic class.
struct ClassSettings {
    std::string name;
    Micros latency_objective = 0;     // a response within it has its full value; required
    double objective_run_factor = 0;  // this times the expected run time is added to the objective
    Micros deadline = 0;  // a response after it has no value; not less than the objective; required
    Idempotency idempotency = Idempotency::non_idempotent;
    KeyScope key_scope = KeyScope::cell;
    Micros key_window = 0;        // for keyed requests: time for which repeats are dropped
    double late_value_share = 0;  // share of the value between objective and deadline
    double priority_weight = 1;   // value of one response within the objective
    bool ordered_by_key = false;  // requests with the same ordering key run one after another
    std::optional<std::vector<std::string>> allowed_kinds;  // absent: all kinds of endpoints
    std::optional<std::vector<std::string>> allowed_zones;  // absent: all zones
    double threads = 1;                                     // threads that one query uses at its endpoint
    bool locks_table_group = false;     // a load, which locks its table group at its endpoint while it runs
    bool waits_for_table_lock = false;  // blocked while a load locks its table group
};

// One tenant.
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests per second at all gateways together; 0: no quota
    double fair_share = 0;   // weight in the allocation of best-effort slots
};

// One kind of endpoint (instance type).
struct EngineKindSettings {
    std::string name;
    double cores = 0;
    double memory_mb = 0;
};

// All settings of one gateway's policy.
struct PolicySettings {
    std::vector<ClassSettings> classes;  // at least one
    std::vector<TenantSettings> tenants;
    std::vector<EngineKindSettings> kinds;
    std::string zone;                // zone of this gateway
    int instance_index = 0;          // index of this gateway, below `instance_count`
    int instance_count = 1;          // number of gateways that share the endpoints; at least 1
    bool watches_endpoints = false;  // WatchEndpoints subscribes to the endpoint list
    bool weight_by_work = false;     // the value of a response is proportional to its work
    double over_quota_weight = 1;    // factor on the priority weight of a request over its tenant's quota
    double max_memory_share = 1;     // maximum grant of one query, as a share of an endpoint's memory
    bool supports_memory_grants = false;
    bool supports_priorities = false;
    bool cost_in_responses = false;  // completed attempts report their work and memory
    Micros progress_period = 0;      // between progress messages of a running attempt; 0: none are sent
    MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::queue;
    LoadReportSource load_report_source = LoadReportSource::none;
    double health_check_price = 0;
    double cross_zone_price = 0;     // of an attempt in another zone; if above 0, the own zone is preferred
    bool can_cancel = false;         // a cancelled attempt stops its work
    bool can_hedge = false;          // hedged requests are allowed; not used
    bool can_health_check = false;   // CheckHealth is supported
    bool can_broadcast = false;      // BroadcastToPeers is supported; not used
    bool sends_retry_after = false;  // the response to a shed request includes a retry-after time
    Micros max_retry_after = 0;      // maximum retry-after time
    int max_attempts = 1;            // per request, including the first attempt
    // Parameters of the seven rules (docs/architecture.md).
    Micros response_grace = 0;
    Micros watch_deadline = 0;             // time within which a lost subscription must be renewed
    Micros drain_grace = 0;                // time for which a draining endpoint may still receive requests
    double slow_start_capacity_share = 0;  // initial capacity of an endpoint that has just started
    Micros slow_start_window = 0;          // from the start of an endpoint to its full capacity
    double overload_factor = 0;            // ratio of work to capacity at which a starting endpoint fails
    Micros overload_window = 0;            // time over which that work is counted
    // Retries within `retry_budget_window` are limited to base + ratio x requests arrived. If base or ratio
    // is absent they are not limited.
    std::optional<double> retry_budget_base;
    std::optional<double> retry_budget_ratio;
    Micros retry_budget_window = 0;
    Micros key_order_gap = 0;  // pause of an ordering key after an attempt that may still be running
};

}  // namespace gatetiller
