// Decides whether a client's call becomes an active request. Malformed calls and calls beyond the node's
// limits are rejected here; neither the policy nor any engine receives a rejected call.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "decide/graceful_shutdown.hpp"
#include "decide/resource_limits.hpp"
#include "node/active_request.hpp"
#include "node/request_outcome.hpp"
#include "node/request_table.hpp"
#include "policy/gateway_policy.hpp"
#include "thrift/service.hpp"

namespace gatetiller::node {

struct AdmissionContext {
    const PolicySettings& settings;
    const decide::ResourceLimits& limits;
    const decide::ShutdownSchedule& shutdown_schedule;
    const RequestTable& requests;
    std::size_t client_unsent_bytes = 0;  // of the responses to the call's client
    std::size_t unsent_bytes = 0;         // of the responses to all clients
    Micros shutting_down_for = 0;         // time since the shutdown began; 0: no shutdown
    Micros now = 0;
};

struct IncomingCall {
    ClientId client = 0;
    thrift::Call call;
    Micros unread_wait = 0;  // maximum time that the call waited before this process read it
};

struct AdmittedRequest {
    std::unique_ptr<ActiveRequest> request;
    RequestArrived arrival;  // for the policy
};

struct RejectedRequest {
    RequestOutcome outcome = RequestOutcome::malformed;
    std::string frame;   // the response
    std::string reason;  // for logs; empty if the outcome is sufficient
};

std::variant<AdmittedRequest, RejectedRequest> admit_request(IncomingCall incoming,
                                                             const AdmissionContext& context);

// Returns the rejection of a call for which the node has no room.
RejectedRequest reject_at_capacity(std::int32_t sequence, const PolicySettings& settings);

// Returns the response that rejects a call. `retry_after`: the time after which the client may retry, in
// microseconds; 0: the response contains none.
std::string rejection_frame(std::int32_t sequence, Micros retry_after);

}  // namespace gatetiller::node
