// Executes the policy's dispatches. Each dispatch is one attempt of a request at one engine, from the guard's
// permit to the report of the outcome.
//
// Invariants: an attempt is sent only with a permit of decide::AttemptGuard, whose conditions are checked
// again when the first byte is written to the kernel; the policy receives exactly one AttemptCompleted per
// dispatch.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/policy_driver.hpp"
#include "decide/attempt_guard.hpp"
#include "net/loop.hpp"
#include "node/active_request.hpp"
#include "node/config.hpp"
#include "node/endpoint_registry.hpp"
#include "node/node_deps.hpp"

namespace gatetiller::node {

// Returns how long after the first attempt, in microseconds, a request of this class may be sent again so
// that the retry arrives while engines still recognize its idempotency key.
Micros retry_send_window(const ClassSettings& settings);

class AttemptDispatcher final : private AttemptHandler {
public:
    struct Events {
        // A complete result has arrived for a request that has had no final response yet.
        std::function<void(ActiveRequest&, const decide::ExchangeResult&)> on_result;
        // The last open attempt of a finished request has ended, so the request may be released.
        std::function<void(const ActiveRequest&)> on_releasable;
        // AttemptGuard has refused a permit; the text names the attempt.
        std::function<void(decide::Invariant, const std::string& subject)> on_violation;
    };

    // All references must outlive the dispatcher. Requests passed to it must be released before it is
    // destroyed.
    AttemptDispatcher(net::Loop& loop, const NodeSettings& settings, EndpointRegistry& endpoints,
                      core::PolicyDriver& policy, const NodeDeps& deps, Events events);

    // Starts an attempt. `timeout` limits its duration, in microseconds; 0: only the request's deadline does.
    void dispatch(ActiveRequest& request, EngineId engine, Micros timeout);
    // Cancels the attempt with that number; no effect if it does not exist or has ended.
    void cancel(ActiveRequest& request, int number);
    // Sets the memory and priority of the request's subsequent attempts. A changed priority is also sent for
    // the attempt in flight.
    void grant(ActiveRequest& request, const ResourceGrant& grant);
    // Ends the attempt if none of its request has been sent.
    void withdraw_unsent(Attempt& attempt);
    // Handles a client's disconnection: ends the attempt in flight unless the engine's machine has
    // acknowledged the complete request.
    void on_client_disconnected(ActiveRequest& request);
    // Sends the request again to the engine of its first attempt. For fault injection.
    void repeat_first_attempt(ActiveRequest& request);

    // Returns the number of ended attempts by outcome, for example "failed:1,succeeded:3".
    std::string counters_text() const;

private:
    void on_progress(Attempt& attempt, ProgressKind kind, double value) override;
    void on_end(Attempt& attempt, decide::ExchangeResult result) override;
    std::optional<Exchange::Request> current_request(const Attempt& attempt) override;
    bool may_begin(const Attempt& attempt, std::uint64_t connection) override;

    Attempt& add_attempt(ActiveRequest& request, EngineId engine, Micros timeout);
    void send(Attempt& attempt, RegisteredEngine& engine, const decide::AttemptPermit& permit);
    void start_timers(Attempt& attempt);
    void reset_partial(Attempt& attempt);
    // Ends the attempt and reports it to the policy. `result`: the result of the exchange, if that has ended.
    void complete(Attempt& attempt, AttemptOutcome outcome, const decide::ExchangeResult* result = nullptr);
    AttemptCompleted completion_of(const Attempt& attempt, AttemptOutcome outcome,
                                   const decide::ExchangeResult* result) const;
    void trace_completion(const Attempt& attempt, const AttemptCompleted& completion,
                          const decide::ExchangeResult* result, const std::string& progress) const;
    void record_possible_execution(const Attempt& attempt);
    decide::AttemptContext context_of(const Attempt& attempt) const;
    std::string name_of(const Attempt& attempt) const;

    net::Loop& loop_;
    const NodeSettings& settings_;
    EndpointRegistry& endpoints_;
    core::PolicyDriver& policy_;
    const NodeDeps& deps_;
    Events events_;
    decide::AttemptGuard guard_;
    std::map<AttemptOutcome, std::uint64_t> completed_;
};

}  // namespace gatetiller::node
