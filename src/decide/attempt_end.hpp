// How an attempt's end counts: what the module is told of it, and whether the engine's answer is the
// client's.
#pragma once

#include <string>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

const char* name_of(AttemptOutcome outcome);  // for logs and metrics

struct AttemptEnd {
    // lacked_here: not sent either, for want of something at this machine; the engine is not to blame.
    enum class Kind {
        answered,
        not_sent,
        connect_timeout,
        local_resource_exhausted,
        rejected,
        connection_lost,
        timed_out
    };
    Kind kind = Kind::answered;
    int status = 0;          // turned away: the status in place of a document
    bool has_error = false;  // answered: the document holds an error
    std::string error_type, error_name;
    bool has_executed = false;  // some document of the attempt told of work, a running state or rows
};

struct AttemptVerdict {
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    // The engine's document is the client's answer: rows, or an error that is the statement's own fault and
    // would come again on every engine.
    bool for_client = false;
};

// Which outcomes prove that an attempt never ran decides whether a statement may have its effect twice, so in
// doubt it may have run:
// - A POST answered 429 or 503 in place of a document was turned away before the engine took it, as the
// protocol
//   has it: clients send the same statement again on these. Any other status may come from something in
//   between.
// - An error QUERY_QUEUE_FULL of a statement of which no document told of running: refused in the engine's
// queue.
// - SERVER_SHUTTING_DOWN proves nothing: a drain that ran out of patience ends statements with it.
AttemptVerdict classify_attempt_end(const AttemptEnd& end);

}  // namespace gatetiller::decide
