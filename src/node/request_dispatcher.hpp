// Handles client requests at a front node from admission through the policy's actions to the final response
// and release.
//
// Invariant: a request gets exactly one final response, unless its client cancels it or disconnects first.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/policy_driver.hpp"
#include "decide/resource_limits.hpp"
#include "net/loop.hpp"
#include "node/attempt_dispatcher.hpp"
#include "node/client_sessions.hpp"
#include "node/config.hpp"
#include "node/endpoint_registry.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/node_deps.hpp"
#include "node/request_admission.hpp"
#include "node/request_outcome.hpp"
#include "node/request_table.hpp"

namespace gatetiller::node {

class RequestDispatcher {
public:
    // All references must outlive the dispatcher.
    struct Context {
        net::Loop& loop;
        const NodeSettings& settings;
        const decide::ResourceLimits& limits;
        const NodeDeps& deps;
        ClientSessions& clients;
        EndpointRegistry& endpoints;
        AttemptDispatcher& attempts;
        core::PolicyDriver& policy;
        const GracefulShutdown& shutdown;
    };
    explicit RequestDispatcher(const Context& context);

    // Admits a client's call as an active request, or rejects it immediately.
    void on_request(IncomingCall incoming);
    // Rejects a request that was discarded unread.
    void on_discarded(ClientId client, std::int32_t sequence);
    // Handles that the client has cancelled the request with this sequence number or has disconnected.
    void on_client_cancelled(ClientId client, std::int32_t sequence);
    // Executes an action of the policy.
    void apply(const Action& action);
    // Sends the complete result of an attempt as the client's response.
    void respond_with_result(ActiveRequest& request, const decide::ExchangeResult& result);
    // Withdraws unsent attempts at engines that are not ready.
    void withdraw_from_unready_engines();
    // Sends all active requests a final response while their clients can still receive it: a rejection if a
    // retry is harmless, otherwise a failure.
    void abort_remaining();
    // Releases the request in a later turn of the loop. To be called once its lifecycle allows it.
    void schedule_release(const ActiveRequest& request) {
        requests_.schedule_release(request);
    }

    std::size_t active_requests() const {
        return requests_.size();
    }
    const RequestCounters& counters() const {
        return counters_;
    }

private:
    void accept(AdmittedRequest admitted);
    void reject(ClientId client, std::int32_t sequence, RejectedRequest rejected);
    void respond(ActiveRequest& request, std::string frame, RequestOutcome outcome,
                 std::optional<TerminationReason> reason = std::nullopt);
    void fail(ActiveRequest& request, std::optional<TerminationReason> reason = std::nullopt);
    void trace_response(const ActiveRequest& request, RequestOutcome outcome,
                        std::optional<TerminationReason> reason) const;

    Context context_;
    RequestTable requests_;
    RequestCounters counters_;
};

}  // namespace gatetiller::node
