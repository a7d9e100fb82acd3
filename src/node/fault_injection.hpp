// The seam by which the soak's test build plants faults in a front node, to show that the soak finds them.
// Every hook keeps the node's behavior as it is by default. Implementations that change it live in tests/soak
// alone and are linked by the target `gatetiller_planted`, never by the program that is released.
#pragma once

#include <cstddef>

#include "decide/client_eviction.hpp"
#include "decide/readiness_guard.hpp"
#include "discovery/dns_endpoint_source.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

class FaultInjection {
public:
    virtual ~FaultInjection() = default;

    // ---- What the policy and discovery work with

    // The settings that the policy gets in place of these.
    virtual PolicySettings policy_settings(PolicySettings settings) const {
        return settings;
    }
    // The time left, in microseconds, that the policy gets for a new request in place of this.
    virtual Micros time_left_for_policy(Micros time_left) const {
        return time_left;
    }
    // The update that the policy gets in place of this.
    virtual EndpointUpdate update_for_policy(EndpointUpdate update) const {
        return update;
    }
    virtual discovery::DnsPollSettings poll_settings(discovery::DnsPollSettings settings) const {
        return settings;
    }
    // Whether a numbering of endpoint lists that starts anew is ever adopted.
    virtual bool accepts_restarted_serials() const {
        return true;
    }

    // ---- Attempts

    // Whether AttemptGuard withholds its permit on a violation.
    virtual bool enforces_attempt_guard() const {
        return true;
    }
    // The engine that an attempt goes to in place of this; `attempt` counts from 0.
    virtual EngineId engine_for_attempt(EngineId engine, int attempt) const {
        (void)attempt;
        return engine;
    }
    // How many attempts one attempt counts as in the slow start's window.
    virtual std::size_t slow_start_weight_of_attempt() const {
        return 1;
    }
    // Whether the first attempt is followed by a second one at once.
    virtual bool duplicates_first_attempt() const {
        return false;
    }
    // Whether the time left sent to the engine is that of the dispatch, not of the moment of sending.
    virtual bool sends_stale_time_left() const {
        return false;
    }
    // Whether an attempt may begin at an engine that is not ready any more.
    virtual bool begins_at_draining_engine() const {
        return false;
    }
    // Whether an attempt may begin in spite of what AttemptGuard finds at that moment.
    virtual bool begins_despite_violation() const {
        return false;
    }
    // Whether a request is sent again, and goes on being sent, after its client has left.
    virtual bool sends_after_client_disconnected() const {
        return false;
    }
    // Whether a request is sent again after its final response.
    virtual bool sends_after_final_response() const {
        return false;
    }

    // ---- Clients

    // Whether the final response of a request with this deadline never reaches its client.
    virtual bool loses_response(Micros deadline) const {
        (void)deadline;
        return false;
    }
    // Whether this connection is closed although its client is owed something.
    virtual bool closes_while_response_owed(const decide::ClientSnapshot& client) const {
        (void)client;
        return false;
    }
    // Whether a connection is closed as if bytes had come on it that were not read.
    virtual bool closes_with_unread_bytes() const {
        return false;
    }

    // ---- Start

    // What ReadinessGuard gets in place of this.
    virtual decide::ReadinessContext readiness(decide::ReadinessContext context) const {
        return context;
    }
};

// The one that this program runs with; it lives as long as the program. The definition in this package
// injects nothing. A test build that defines the function itself gets its own, as this one stands alone in
// its object file of a static library.
const FaultInjection& fault_injection();

}  // namespace gatetiller::node
