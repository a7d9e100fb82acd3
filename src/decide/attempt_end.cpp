#include "decide/attempt_end.hpp"

#include <array>

namespace gatetiller::decide {

const char* name_of(Outcome outcome) {
    constexpr std::array kNames = {"done",         "err",        "busy",      "etimedout",
                                   "econnrefused", "econnreset", "ecanceled", "skipped"};
    return kNames[static_cast<std::size_t>(outcome)];
}

Verdict judge(const AttemptEnd& end) {
    using How = AttemptEnd::How;
    switch (end.how) {
        case How::not_sent:
        case How::connect_late:
            return {Outcome::econnrefused, false};
        case How::lacked_here:
            return {Outcome::skipped, false};
        case How::lost:
            return {Outcome::econnreset, false};
        case How::late:
            return {Outcome::etimedout, false};
        case How::turned_away:
            // A statement that is malformed in the engine's eyes (400, 401, 403, 404, 405, 413 ...) was never
            // run.
            if (end.status == 429 || end.status == 503)
                return {Outcome::busy, false};
            return {Outcome::err, end.status >= 400 && end.status < 500};
        case How::answered:
            break;
    }
    if (!end.has_error)
        return {Outcome::done, true};
    if (end.error_type == "USER_ERROR")
        return {Outcome::done, true};
    if (end.error_name == "QUERY_QUEUE_FULL" && !end.ever_ran)
        return {Outcome::busy, false};
    return {Outcome::err, false};
}

}  // namespace gatetiller::decide
