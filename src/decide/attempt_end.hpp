// Classification of an attempt's end: the outcome for the policy, and whether the engine's document is the
// client's response.
//
// The outcome decides whether a statement may be executed twice, so an attempt counts as not executed only
// where the protocol proves it:
// - A POST with status 429 or 503 in place of a document was rejected before the engine accepted it; clients
//   resend the statement on these. Any other status may come from an intermediary.
// - An error QUERY_QUEUE_FULL of a statement of which no document showed execution: rejected in the queue.
// - SERVER_SHUTTING_DOWN proves nothing: a drain whose time is over ends running statements with it.
#pragma once

#include <string>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// The outcome's name in logs and metrics.
const char* name_of(AttemptOutcome outcome);

// How an attempt ended.
struct AttemptEnd {
    enum class Kind {
        // The engine's last document arrived.
        answered,
        // The connection could not be established.
        not_sent,
        // The connection was not established in time.
        connect_timeout,
        // This machine lacked a resource, such as a descriptor, to send it; no fault of the engine.
        local_resource_exhausted,
        // The engine returned a status in place of a document.
        rejected,
        // The connection broke after the statement was sent.
        connection_lost,
        // No response arrived in time.
        timed_out
    };
    Kind kind = Kind::answered;
    // For `rejected`: the HTTP status.
    int status = 0;
    // For `answered`: the document has an error, of this type and name.
    bool has_error = false;
    std::string error_type;
    std::string error_name;
    // Some document of the attempt had work, a running state or rows.
    bool has_executed = false;
};

struct AttemptVerdict {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    // The engine's document is the client's response: rows, or an error of the statement itself that every
    // engine would return.
    bool for_client = false;
};

AttemptVerdict classify_attempt_end(const AttemptEnd& end);

}  // namespace gatetiller::decide
