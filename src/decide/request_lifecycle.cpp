#include "decide/request_lifecycle.hpp"

namespace gatetiller::decide {

bool RequestLifecycle::allows(RequestEvent h) const {
    switch (h) {
        case RequestEvent::attempt_started:
            return phase_ == RequestPhase::queued && !out_;
        // An answer that is whole at the front is given page by page: its first rows change nothing any more.
        case RequestEvent::streaming_started:
            return phase_ == RequestPhase::attempting;
        case RequestEvent::attempt_ended:
            return out_;
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

bool RequestLifecycle::apply(RequestEvent h) {
    if (!allows(h))
        return false;
    switch (h) {
        case RequestEvent::attempt_started:
            phase_ = RequestPhase::attempting, out_ = true;
            break;
        case RequestEvent::streaming_started:
            phase_ = RequestPhase::streaming;
            break;
        case RequestEvent::attempt_ended:
            out_ = false;
            // Where rows have gone out only an answer can follow: the front's own, that they are not whole.
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
