// The life of one statement at a front, from its taking to the moment nothing of it is left: one small state
// machine, so that what may happen when stands in one place. The module decides what is done; this keeps the
// doing straight.
#pragma once

#include <cstdint>

namespace gatetiller::decide {

enum class RequestPhase : std::uint8_t {
    queued,      // no attempt is out: the module holds it
    attempting,  // an attempt is out, no row has gone to the client
    streaming,   // rows have gone to the client, the attempt is still out: nothing is tried again
    answered,    // the final document waits for the client
    closed,      // the client has its final document, or has left
};

enum class RequestEvent : std::uint8_t {
    attempt_started,      // an attempt went out
    streaming_started,    // a document with rows goes to the client for the first time
    attempt_ended,        // the attempt ended without an answer for the client
    response_ready,       // the final document is at hand: an engine's, or this front's own
    response_delivered,   // the client got it
    client_disconnected,  // the client cancelled, or stopped asking
};

class RequestLifecycle {
public:
    RequestPhase phase() const {
        return phase_;
    }
    // Whether it may happen now. What may not is passed over by take(), which says so.
    bool allows(RequestEvent h) const;
    bool apply(RequestEvent h);

    bool attempt_in_flight() const {
        return out_;
    }  // an attempt is out; may be so after the end, where it can't be called off
    bool finished() const {
        return phase_ == RequestPhase::answered || phase_ == RequestPhase::closed;
    }
    bool releasable() const {
        return phase_ == RequestPhase::closed && !out_;
    }

private:
    RequestPhase phase_ = RequestPhase::queued;
    bool out_ = false;
};

}  // namespace gatetiller::decide
