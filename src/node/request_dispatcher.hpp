// The life of client requests at a front node: admission, the policy's actions on them, their one final
// response, and their release.
//
// Invariant: a request gets exactly one final response, unless its client leaves first.
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
    // What it works with; all of it outlives the dispatcher.
    struct Collaborators {
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
    explicit RequestDispatcher(const Collaborators& collaborators);

    // A client's call: it becomes an active request, or is rejected at once.
    void on_request(IncomingCall incoming);
    // The client has cancelled the request of this sequence number, or has left.
    void on_client_cancelled(ClientId client, std::int32_t sequence);
    // Carries out an action of the policy.
    void apply(const Action& action);
    // The client's response from the complete result of an attempt.
    void respond_with_result(ActiveRequest& request, const decide::ExchangeResult& result);
    // Withdraws the attempts that still wait for an engine that is not ready.
    void withdraw_from_unready_engines();
    // Gives all active requests a final response while their clients can still get it: a rejection where a
    // repetition is harmless.
    void abort_remaining();
    // Releases the request in a later turn of the loop; to be called once its lifecycle allows it.
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

    Collaborators with_;
    RequestTable requests_;
    RequestCounters counters_;
};

}  // namespace gatetiller::node
