// Events that the gateway's policy handles, from clients, endpoints and the endpoint list. Plain data. Times
// are in microseconds; an empty optional means that the source did not report the value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.hpp"

namespace gatetiller {

using EngineId = std::uint32_t;

// State of an endpoint in the list: accepts requests, only finishes the requests it has, or is removed.
enum class EndpointState {
    ready,
    draining,
    removed
};

// One entry of the endpoint list.
struct Endpoint {
    EngineId id = 0;
    EndpointState state = EndpointState::ready;
    std::string zone;
    std::string kind;       // name of an EngineKindSettings
    std::int64_t cell = 0;  // endpoints of one cell share their idempotency keys
    Micros started_at = 0;  // start time of its process; 0: long ago
    double share = 1;       // live weight from the list; not used
};

// Load that an endpoint reports; any field may be missing.
struct LoadReport {
    std::optional<double> running_queries;
    std::optional<double> queue_depth;
    std::optional<double> busy_cores_share;
    std::optional<double> mean_ms;  // mean run time of its queries
    std::optional<double> tps;      // queries per second
    std::optional<double> err_ps;   // errors per second
    std::optional<double> granted_memory_share;
    std::optional<double> busy_disks_share;
};

// How an attempt ended.
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

// Returns whether the outcome proves that the attempt did not execute.
constexpr bool proves_not_executed(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connection_refused ||
           outcome == AttemptOutcome::not_sent;
}

// Content of an endpoint update: the changed entries, the full list, the full list from a cache, or nothing
// because the connection to its source was lost.
enum class EndpointUpdateKind {
    incremental,
    full,
    cached,
    source_lost
};

// The endpoint list changed.
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::incremental;
    std::vector<Endpoint> endpoints;
};

// A client's request arrived.
struct RequestArrived {
    std::string id;
    std::string class_name;  // a request of an unknown class is ignored: no action follows
    std::string tenant;
    std::string ordering_key;              // empty: unordered
    Micros time_left = 0;                  // until the client's deadline
    std::optional<Micros> estimated_work;  // total of all threads, as time on one core
    double estimated_memory_mb = 0;
    std::int64_t table_group = 0;
    bool client_retry = false;  // repeats an earlier request of the client; not used
};

// The first part of the response was sent to the client. No further attempt may be made.
struct ResponseStarted {
    std::string id;
    int attempt = 0;
};

// An attempt ended.
struct AttemptCompleted {
    std::string id;
    int attempt = 0;  // counted from 0 for each request
    EngineId engine = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    Micros duration = 0;
    bool request_finished = false;  // the client has its final response
    double work_ms = 0;             // core time used, in milliseconds; 0: not reported
    double needed_mb = 0;           // memory needed, in megabytes; 0: not reported
    std::optional<LoadReport> load_report;
};

enum class ProgressKind {
    fraction_done = 1,
    spilling = 2,
    waiting = 3
};

// Progress of a running attempt. The meaning of `value` depends on the kind: fraction done in [0, 1]; missing
// memory in megabytes; reason for waiting (2: a load that locks its table group).
struct AttemptProgress {
    std::string id;
    int attempt = 0;
    EngineId engine = 0;
    ProgressKind kind = ProgressKind::fraction_done;
    double value = 0;
};

// A health check requested by CheckHealth ended.
struct HealthCheckCompleted {
    EngineId engine = 0;
    Micros duration = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    std::optional<LoadReport> load_report;
};

// Bytes from another gateway.
struct PeerMessage {
    int from = 0;  // instance index of the sender
    std::string bytes;
};

// The client of a request disconnected. The request needs no response.
struct ClientDisconnected {
    std::string id;
};

// A timer started by StartTimer is due.
struct TimerFired {
    std::int64_t timer = 0;
};

using Event = std::variant<EndpointUpdate, RequestArrived, ResponseStarted, AttemptCompleted, AttemptProgress,
                           HealthCheckCompleted, PeerMessage, ClientDisconnected, TimerFired>;

}  // namespace gatetiller
