#include "decide/request_lifecycle.hpp"

namespace gatetiller::decide {

bool RequestLifecycle::allows(RequestEvent event) const {
    switch (event) {
        case RequestEvent::attempt_started:
            return phase_ == RequestPhase::queued && !attempt_in_flight_;
        // Once the final response is available, its first rows no longer change the phase.
        case RequestEvent::streaming_started:
            return phase_ == RequestPhase::attempting;
        case RequestEvent::attempt_ended:
            return attempt_in_flight_;
        case RequestEvent::response_ready:
            return phase_ == RequestPhase::queued || phase_ == RequestPhase::attempting ||
                   phase_ == RequestPhase::streaming;
        case RequestEvent::response_delivered:
            return phase_ == RequestPhase::answered;
        case RequestEvent::client_disconnected:
            return phase_ != RequestPhase::closed;
    }
    return false;
}

bool RequestLifecycle::apply(RequestEvent event) {
    if (!allows(event))
        return false;
    switch (event) {
        case RequestEvent::attempt_started:
            phase_ = RequestPhase::attempting;
            attempt_in_flight_ = true;
            break;
        case RequestEvent::streaming_started:
            phase_ = RequestPhase::streaming;
            break;
        case RequestEvent::attempt_ended:
            attempt_in_flight_ = false;
            // After streaming only a final response can follow: an error that the rows are incomplete.
            if (phase_ == RequestPhase::attempting)
                phase_ = RequestPhase::queued;
            break;
        case RequestEvent::response_ready:
            phase_ = RequestPhase::answered;
            break;
        case RequestEvent::response_delivered:
        case RequestEvent::client_disconnected:
            phase_ = RequestPhase::closed;
            break;
    }
    return true;
}

}  // namespace gatetiller::decide
