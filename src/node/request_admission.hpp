// Whether a client's call becomes an active request. Nothing malformed gets past here, and nothing past the
// node's limits; neither the policy nor any engine hears of what is rejected.
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
    Micros shutting_down_for = 0;  // 0: no shutdown
    Micros now = 0;
};

struct IncomingCall {
    ClientId client = 0;
    thrift::Call call;
    Micros unseen = 0;  // it may have waited for so long before this process saw it
};

struct AdmittedRequest {
    std::unique_ptr<ActiveRequest> request;
    RequestArrived arrival;  // for the policy
};

struct RejectedRequest {
    RequestOutcome outcome = RequestOutcome::malformed;
    std::string frame;   // the response
    std::string reason;  // for logs; empty where the outcome says all
};

std::variant<AdmittedRequest, RejectedRequest> admit_request(IncomingCall incoming,
                                                             const AdmissionContext& context);

// The response that rejects a call. `retry_after`: when the client may come again, in microseconds; 0: it is
// not told.
std::string rejection_frame(std::int32_t sequence, Micros retry_after);

}  // namespace gatetiller::node
