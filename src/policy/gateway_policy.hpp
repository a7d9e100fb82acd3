// The interface of gatetiller: settings, events and actions of one front. Plain data; no decision is made
// here.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.hpp"

namespace gatetiller {

using EngineId = std::uint32_t;

// ---- Settings
// -----------------------------------------------------------------------------------------------

enum class Idempotency {
    idempotent,
    keyed,
    non_idempotent
};
enum class KeyScope {
    all,
    zone,
    cell
};  // which engines drop a keyed repeat
enum class MemoryShortagePolicy {
    queue,
    trim,
    swap
};  // what an engine does when grants pass its memory
enum class LoadReportSource {
    none,
    responses,
    health_checks
};

struct ClassSettings {
    std::string name;
    Micros latency_objective = 0;
    double objective_stretch = 0;  // the aim grows by this times work over threads
    Micros deadline = 0;
    Idempotency idempotency = Idempotency::non_idempotent;
    KeyScope key_scope = KeyScope::cell;
    Micros key_window = 0;  // by_key: how long repeats are dropped
    double late_value_share = 0;
    double priority_weight = 1;
    bool ordered_by_key = false;
    std::optional<std::vector<std::string>> allowed_kinds;  // the only kinds allowed
    std::optional<std::vector<std::string>> allowed_zones;  // the only zones allowed
    double threads = 1;
    bool locks_table_group = false;     // a load: holds its group of tables on its engine
    bool waits_for_table_lock = false;  // stands still while a load holds its group
};

struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // over all fronts
    double fair_share = 0;
};

struct EngineKindSettings {
    std::string name;
    double cores = 0;
    double memory_mb = 0;
};

struct PolicySettings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<EngineKindSettings> kinds;
    std::string zone;
    int instance_index = 0;
    int instance_count = 1;
    bool watches_endpoints = false;
    bool weight_by_work = false;
    double over_quota_weight = 1;
    double max_memory_share = 1;  // of an engine's memory, for one query
    bool supports_memory_grants = false;
    bool supports_priorities = false;
    bool cost_in_responses = false;
    Micros progress_period = 0;
    MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::queue;
    LoadReportSource load_report_source = LoadReportSource::none;
    double health_check_price = 0;
    double cross_zone_price = 0;
    bool can_cancel = false;
    bool can_hedge = false;
    bool can_health_check = false;
    bool can_broadcast = false;
    bool sends_retry_after = false;
    Micros max_retry_after = 0;
    int max_attempts = 1;
    // figures of the rules
    Micros response_grace = 0;
    Micros watch_deadline = 0;
    Micros drain_grace = 0;
    double slow_start_capacity_share = 0;
    Micros slow_start_window = 0;
    double overload_factor = 0;
    Micros overload_window = 0;
    std::optional<double> retry_budget_base;  // with these two absent, further attempts are not rationed
    std::optional<double> retry_budget_ratio;
    Micros retry_budget_window = 0;
    Micros key_order_gap = 0;
};

// ---- Events
// -------------------------------------------------------------------------------------------------

enum class EndpointState {
    ready,
    draining,
    removed
};

struct Endpoint {
    EngineId id = 0;
    EndpointState state = EndpointState::ready;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    Micros started_at = 0;
    double share = 1;
};

struct LoadReport {  // what an engine says of its load; any part may be missing
    std::optional<double> running_queries, queue_depth, busy_cores_share, mean_ms, tps, err_ps,
        granted_memory_share, busy_disks_share;
};

enum class AttemptOutcome {
    succeeded,
    failed,
    rejected,
    timed_out,
    connection_refused,
    connection_reset,
    cancelled,
    not_sent
};
// Whether an attempt that ended so is proved not to have run.
constexpr bool proves_not_executed(AttemptOutcome o) {
    return o == AttemptOutcome::rejected || o == AttemptOutcome::connection_refused ||
           o == AttemptOutcome::not_sent;
}
enum class EndpointUpdateKind {
    incremental,
    full,
    cached,
    source_lost
};

struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::incremental;
    std::vector<Endpoint> endpoints;
};
struct RequestArrived {
    std::string id;
    std::string class_name;
    std::string tenant;
    std::string ordering_key;  // empty: no order to keep
    Micros time_left = 0;
    std::optional<Micros> estimated_work;  // estimated work of all threads, as time on one
    double estimated_memory_mb = 0;
    std::int64_t table_group = 0;
    bool client_retry = false;
};
struct ResponseStarted {
    std::string id;
    int attempt = 0;
};
struct AttemptCompleted {
    std::string id;
    int attempt = 0;
    EngineId engine = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    Micros duration = 0;
    bool request_finished = false;
    double work_ms = 0;  // 0: not told
    double needed_mb = 0;
    std::optional<LoadReport> load_report;
};
enum class ProgressKind {
    fraction_done = 1,
    spilling = 2,
    waiting = 3
};
struct AttemptProgress {
    std::string id;
    int attempt = 0;
    EngineId engine = 0;
    ProgressKind kind = ProgressKind::fraction_done;
    double value = 0;
};
struct HealthCheckCompleted {
    EngineId engine = 0;
    Micros duration = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    std::optional<LoadReport> load_report;
};
struct PeerMessage {
    int from = 0;
    std::string bytes;
};
struct ClientDisconnected {
    std::string id;
};
struct TimerFired {
    std::int64_t timer = 0;
};
using Event = std::variant<EndpointUpdate, RequestArrived, ResponseStarted, AttemptCompleted, AttemptProgress,
                           HealthCheckCompleted, PeerMessage, ClientDisconnected, TimerFired>;

// ---- Actions
// ------------------------------------------------------------------------------------------------

struct DispatchAttempt {
    std::string id;
    EngineId engine = 0;
    Micros timeout = 0;
};
struct ResourceGrant {
    std::string id;
    double memory_mb = 0;  // 0: the engine's own choice
    int priority = 1;
};
enum class GiveUpReason {
    deadline_unreachable,
    objective_missed,
    attempts_exhausted
};  // of a request given up on; for logs
struct ShedRequest {
    std::string id;
    Micros retry_after = 0;
    GiveUpReason reason = GiveUpReason::deadline_unreachable;
};
struct FailRequest {
    std::string id;
    GiveUpReason reason = GiveUpReason::deadline_unreachable;
};
struct CancelAttempt {
    std::string id;
    int attempt = 0;
};
struct CheckHealth {
    EngineId engine = 0;
};
struct BroadcastToPeers {
    std::string bytes;  // to every peer
};
struct WatchEndpoints {};  // subscribe to the list
struct StartTimer {
    Micros delay = 0;
    std::int64_t timer = 0;
};
using Action = std::variant<DispatchAttempt, ResourceGrant, ShedRequest, FailRequest, CancelAttempt,
                            CheckHealth, BroadcastToPeers, WatchEndpoints, StartTimer>;

// ---- One front
// ----------------------------------------------------------------------------------------------

class GatewayPolicy {
public:
    // Settings that contradict themselves throw std::invalid_argument.
    GatewayPolicy(Micros now, std::uint64_t seed, PolicySettings settings);
    ~GatewayPolicy();
    GatewayPolicy(GatewayPolicy&&) noexcept;
    GatewayPolicy& operator=(GatewayPolicy&&) noexcept;

    // What to do at the start; to be called once, before the first event.
    std::vector<Action> start();
    // Takes one event. An id not held is passed over; a time before the last one counts as the last one.
    std::vector<Action> handle(Micros now, const Event& event);
    // The chance that a freed slot goes to the sensitive side; for watching.
    double alpha() const;

private:
    class Front;
    std::unique_ptr<Front> front_;
};

// The parts of Algorithm 1, shown for checking.
double gexp_shape(double cv);                       // phi of the fit with this CV
double gexp_cdf(double x, double mean, double cv);  // F(x) of the fit
double mean_latency_budget(double cv, double aim, double deadline, double target);
double next_alpha(double alpha, double worst, double best, double mean_cv);

}  // namespace gatetiller
