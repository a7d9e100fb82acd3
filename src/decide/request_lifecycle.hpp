// The state machine of one request at a gateway, from admission until all of its state can be released.
//
// The policy makes the decisions; the state machine rejects events that are not possible in the present
// phase.
//
// Invariants: at most one attempt is in flight; no attempt starts after rows were streamed to the client or
// after the final response; there is at most one final response, and the request is closed once.
#pragma once

#include <cstdint>

namespace gatetiller::decide {

enum class RequestPhase : std::uint8_t {
    // No attempt is in flight, the policy has the request queued.
    queued,
    // An attempt is in flight, no row was sent to the client.
    attempting,
    // Rows were sent to the client, so that no other attempt is possible.
    streaming,
    // The final response is available to the client.
    answered,
    // The client has the final response, or has disconnected.
    closed,
};

enum class RequestEvent : std::uint8_t {
    // An attempt was sent.
    attempt_started,
    // The first rows were sent to the client.
    streaming_started,
    // The attempt ended without a response for the client.
    attempt_ended,
    // The final response is available: an engine's or this gateway's own.
    response_ready,
    // The client received the final response.
    response_delivered,
    // The client cancelled the request or stopped polling for it.
    client_disconnected,
};

class RequestLifecycle {
public:
    RequestPhase phase() const {
        return phase_;
    }
    // Whether `event` is possible now.
    bool allows(RequestEvent event) const;
    // Applies `event`. False, without a change, where it is not possible now.
    bool apply(RequestEvent event);

    // Whether an attempt is in flight. Possible after the final response, where it could not be cancelled.
    bool attempt_in_flight() const {
        return attempt_in_flight_;
    }
    // Whether the request has its final response or is closed.
    bool finished() const {
        return phase_ == RequestPhase::answered || phase_ == RequestPhase::closed;
    }
    // Whether the request's state can be released.
    bool releasable() const {
        return phase_ == RequestPhase::closed && !attempt_in_flight_;
    }

private:
    RequestPhase phase_ = RequestPhase::queued;
    bool attempt_in_flight_ = false;
};

}  // namespace gatetiller::decide
