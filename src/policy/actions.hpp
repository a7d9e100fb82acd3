// Actions that the gateway's policy asks for, to be carried out in the order given. Plain data. Times are
// microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/time.hpp"
#include "policy/events.hpp"

namespace gatetiller {

// Send the next attempt of a request to an endpoint; it ends as timed_out after `timeout`.
struct DispatchAttempt {
    std::string id;
    EngineId engine = 0;
    Micros timeout = 0;
};

// Memory and priority of the request: of its next attempt, and of a running one where that can change.
struct ResourceGrant {
    std::string id;
    double memory_mb = 0;  // 0: the endpoint's own choice
    int priority = 1;      // 0 (lowest) to 3
};

// Why a request ends without an answer; for logs.
enum class TerminationReason {
    deadline_unreachable,
    objective_missed,
    attempts_exhausted
};

// End a request with a refusal, which tells the client that it did not execute or may be repeated.
struct ShedRequest {
    std::string id;
    Micros retry_after = 0;  // 0: no such hint
    TerminationReason reason = TerminationReason::deadline_unreachable;
};

// End a request with an error: it may have executed.
struct FailRequest {
    std::string id;
    TerminationReason reason = TerminationReason::deadline_unreachable;
};

// Cancel a running attempt; it ends as cancelled.
struct CancelAttempt {
    std::string id;
    int attempt = 0;  // counted from 0 for each request
};

// Ask an endpoint for its load report.
struct CheckHealth {
    EngineId engine = 0;
};

// Send bytes to every other gateway.
struct BroadcastToPeers {
    std::string bytes;
};

// Subscribe to the endpoint list.
struct WatchEndpoints {};

// Send TimerFired with this number after `delay`.
struct StartTimer {
    Micros delay = 0;
    std::int64_t timer = 0;
};

using Action = std::variant<DispatchAttempt, ResourceGrant, ShedRequest, FailRequest, CancelAttempt,
                            CheckHealth, BroadcastToPeers, WatchEndpoints, StartTimer>;

}  // namespace gatetiller
