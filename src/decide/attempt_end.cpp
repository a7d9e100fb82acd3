#include "decide/attempt_end.hpp"

namespace gatetiller::decide {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

AttemptVerdict classify_status(int status) {
    if (status == kTooManyRequests || status == kServiceUnavailable)
        return {AttemptOutcome::rejected, false};
    // A statement that an engine finds malformed (400, 404, 413 ...) is malformed for every engine.
    const bool is_client_error = status >= 400 && status < 500;
    return {AttemptOutcome::failed, is_client_error};
}

AttemptVerdict classify_document(const AttemptEnd& end) {
    if (!end.has_error || end.error_type == "USER_ERROR")
        return {AttemptOutcome::succeeded, true};
    if (end.error_name == "QUERY_QUEUE_FULL" && !end.has_executed)
        return {AttemptOutcome::rejected, false};
    return {AttemptOutcome::failed, false};
}

}  // namespace

const char* name_of(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::succeeded:
            return "done";
        case AttemptOutcome::failed:
            return "err";
        case AttemptOutcome::rejected:
            return "busy";
        case AttemptOutcome::timed_out:
            return "etimedout";
        case AttemptOutcome::connection_refused:
            return "econnrefused";
        case AttemptOutcome::connection_reset:
            return "econnreset";
        case AttemptOutcome::cancelled:
            return "ecanceled";
        case AttemptOutcome::not_sent:
            return "skipped";
    }
    return "unknown";
}

AttemptVerdict classify_attempt_end(const AttemptEnd& end) {
    switch (end.kind) {
        case AttemptEnd::Kind::not_sent:
        case AttemptEnd::Kind::connect_timeout:
            return {AttemptOutcome::connection_refused, false};
        case AttemptEnd::Kind::local_resource_exhausted:
            return {AttemptOutcome::not_sent, false};
        case AttemptEnd::Kind::connection_lost:
            return {AttemptOutcome::connection_reset, false};
        case AttemptEnd::Kind::timed_out:
            return {AttemptOutcome::timed_out, false};
        case AttemptEnd::Kind::rejected:
            return classify_status(end.status);
        case AttemptEnd::Kind::answered:
            break;
    }
    return classify_document(end);
}

}  // namespace gatetiller::decide
