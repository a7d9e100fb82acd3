// Carries out the policy's dispatches: one attempt of a request at one engine, from the guard's permit to the
// report of its outcome.
//
// Invariants: an attempt is sent only with a permit of decide::AttemptGuard, which is checked again when its
// first byte goes to the kernel; the policy gets exactly one AttemptCompleted for each dispatch.
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

// For how long after its first attempt a request of this class may be sent again, so that the retry arrives
// while engines still know its idempotency key.
Micros retry_send_window(const ClassSettings& settings);

class AttemptDispatcher final : private AttemptHandler {
public:
    struct Events {
        // The complete result of a request that is still owed its response.
        std::function<void(ActiveRequest&, const decide::ExchangeResult&)> on_result;
        // An attempt is over, and with it all there is of its request.
        std::function<void(const ActiveRequest&)> on_releasable;
        // AttemptGuard has refused a permit.
        std::function<void(decide::Invariant, const std::string& what)> on_violation;
    };

    // All references outlive it; requests given to it are released before it is destroyed.
    AttemptDispatcher(net::Loop& loop, const NodeSettings& settings, EndpointRegistry& endpoints,
                      core::PolicyDriver& policy, const NodeDeps& deps, Events events);

    // `timeout`: bounds the attempt, in microseconds; 0: the request's deadline alone does.
    void dispatch(ActiveRequest& request, EngineId engine, Micros timeout);
    // Cancels the attempt of that number; ignored where there is none or it is over.
    void cancel(ActiveRequest& request, int number);
    // Memory and priority for the request's attempts from now on; the priority reaches one in flight too.
    void grant(ActiveRequest& request, const ResourceGrant& grant);
    // Ends an attempt of which nothing has been sent.
    void withdraw_unsent(Attempt& attempt);
    // The client has left: ends the attempt in flight unless all of it has reached the engine's machine.
    void on_client_left(ActiveRequest& request);
    // Sends the request once more to its first engine. For fault injection.
    void repeat_first_attempt(ActiveRequest& request);

    // Attempts that are over, by outcome: "failed:1,succeeded:3".
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
    // `result`: what its exchange ended with, if that is why it is over.
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
