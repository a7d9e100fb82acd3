// Hooks through which the soak's test build plants faults in a front node, to verify that the soak detects
// them. By default no hook changes the node's behavior. Implementations that do are only in tests/soak and
// are linked into the target `gatetiller_planted`, never into the released program.
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

    // ---- Inputs of the policy and of discovery

    // Returns the settings that the policy receives instead of `settings`.
    virtual PolicySettings policy_settings(PolicySettings settings) const {
        return settings;
    }
    // Returns the time left, in microseconds, that the policy receives for a new request instead of
    // `time_left`.
    virtual Micros time_left_for_policy(Micros time_left) const {
        return time_left;
    }
    // Returns the update that the policy receives instead of `update`.
    virtual EndpointUpdate update_for_policy(EndpointUpdate update) const {
        return update;
    }
    virtual discovery::DnsPollSettings poll_settings(discovery::DnsPollSettings settings) const {
        return settings;
    }
    // Returns whether the serials of endpoint lists may start again from a lower value.
    virtual bool accepts_restarted_serials() const {
        return true;
    }

    // ---- Attempts

    // Returns whether AttemptGuard refuses its permit on a violation.
    virtual bool enforces_attempt_guard() const {
        return true;
    }
    // Returns the engine that an attempt is sent to instead of `engine`; `attempt` counts from 0.
    virtual EngineId engine_for_attempt(EngineId engine, int attempt) const {
        (void)attempt;
        return engine;
    }
    // Returns how many attempts one attempt counts as in the slow-start window.
    virtual std::size_t slow_start_weight_of_attempt() const {
        return 1;
    }
    // Returns whether a second attempt immediately follows the first one.
    virtual bool duplicates_first_attempt() const {
        return false;
    }
    // Returns whether the time left sent to the engine is that at dispatch instead of that at sending.
    virtual bool sends_stale_time_left() const {
        return false;
    }
    // Returns whether an attempt may begin at an engine that is no longer ready.
    virtual bool begins_at_draining_engine() const {
        return false;
    }
    // Returns whether an attempt may begin despite a violation that AttemptGuard finds at that moment.
    virtual bool begins_despite_violation() const {
        return false;
    }
    // Returns whether a request is sent again, and may still be sent, after its client has disconnected.
    virtual bool sends_after_client_disconnected() const {
        return false;
    }
    // Returns whether a request is sent again after its final response.
    virtual bool sends_after_final_response() const {
        return false;
    }

    // ---- Clients

    // Returns whether the final response of a request with this deadline is not sent to its client.
    virtual bool loses_response(Micros deadline) const {
        (void)deadline;
        return false;
    }
    // Returns whether this connection is closed although a response is pending.
    virtual bool closes_while_response_owed(const decide::ClientSnapshot& client) const {
        (void)client;
        return false;
    }
    // Returns whether a connection is closed as if it had unread bytes.
    virtual bool closes_with_unread_bytes() const {
        return false;
    }

    // ---- Start

    // Returns the context that ReadinessGuard receives instead of `context`.
    virtual decide::ReadinessContext readiness(decide::ReadinessContext context) const {
        return context;
    }
};

// Returns the fault injection of this program, which lives as long as the program. The definition in this
// package injects nothing. A test build may define the function itself: the linker then leaves this one out,
// as it is alone in its object file of a static library.
const FaultInjection& fault_injection();

}  // namespace gatetiller::node
