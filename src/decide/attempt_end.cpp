#include "decide/attempt_end.hpp"

#include <array>

namespace gatetiller::decide {

const char* name_of(AttemptOutcome outcome) {
    constexpr std::array kNames = {"done",         "err",        "busy",      "etimedout",
                                   "econnrefused", "econnreset", "ecanceled", "skipped"};
    return kNames[static_cast<std::size_t>(outcome)];
}

AttemptVerdict classify_attempt_end(const AttemptEnd& end) {
    using How = AttemptEnd::Kind;
    switch (end.kind) {
        case How::not_sent:
        case How::connect_timeout:
            return {AttemptOutcome::connection_refused, false};
        case How::local_resource_exhausted:
            return {AttemptOutcome::not_sent, false};
        case How::connection_lost:
            return {AttemptOutcome::connection_reset, false};
        case How::timed_out:
            return {AttemptOutcome::timed_out, false};
        case How::rejected:
            // A statement that is malformed in the engine's eyes (400, 401, 403, 404, 405, 413 ...) was never
            // run.
            if (end.status == 429 || end.status == 503)
                return {AttemptOutcome::rejected, false};
            return {AttemptOutcome::failed, end.status >= 400 && end.status < 500};
        case How::answered:
            break;
    }
    if (!end.has_error)
        return {AttemptOutcome::succeeded, true};
    if (end.error_type == "USER_ERROR")
        return {AttemptOutcome::succeeded, true};
    if (end.error_name == "QUERY_QUEUE_FULL" && !end.has_executed)
        return {AttemptOutcome::rejected, false};
    return {AttemptOutcome::failed, false};
}

}  // namespace gatetiller::decide
