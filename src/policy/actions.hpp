// Actions that the gateway's policy returns; the caller executes them in the given order. Plain data. Times
// are in microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/time.hpp"
#include "policy/events.hpp"

namespace gatetiller {

// Sends the next attempt of a request to an endpoint. The attempt ends as timed_out after `timeout`.
struct DispatchAttempt {
    std::string id;
    EngineId engine = 0;
    Micros timeout = 0;
};

// Sets the memory and priority of the request's next attempt, and of the running attempt where the endpoint
// can change them.
struct ResourceGrant {
    std::string id;
    double memory_mb = 0;  // 0: chosen by the endpoint
    int priority = 1;      // 0 (lowest) to 3
};

// Why a request ends without a response; for logs.
enum class TerminationReason {
    deadline_unreachable,
    objective_missed,
    attempts_exhausted
};

// Ends a request with a rejection, which tells the client that the request did not execute or may be
// repeated.
struct ShedRequest {
    std::string id;
    Micros retry_after = 0;  // 0: no hint
    TerminationReason reason = TerminationReason::deadline_unreachable;
};

// Ends a request with an error: it may have executed.
struct FailRequest {
    std::string id;
    TerminationReason reason = TerminationReason::deadline_unreachable;
};

// Cancels a running attempt, which ends as cancelled.
struct CancelAttempt {
    std::string id;
    int attempt = 0;  // counted from 0 for each request
};

// Requests a load report from an endpoint.
struct CheckHealth {
    EngineId engine = 0;
};

// Sends bytes to every other gateway.
struct BroadcastToPeers {
    std::string bytes;
};

// Subscribes to the endpoint list.
struct WatchEndpoints {};

// Requests a TimerFired event with this number after `delay`.
struct StartTimer {
    Micros delay = 0;
    std::int64_t timer = 0;
};

using Action = std::variant<DispatchAttempt, ResourceGrant, ShedRequest, FailRequest, CancelAttempt,
                            CheckHealth, BroadcastToPeers, WatchEndpoints, StartTimer>;

}  // namespace gatetiller
