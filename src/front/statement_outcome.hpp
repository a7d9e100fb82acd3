// How a statement ended, or why it was not accepted, and what is reported of each one that ended.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "decide/account.hpp"

namespace gatetiller::front {

// How an accepted statement ended, and so which side ended it.
enum class StatementOutcome : std::uint8_t {
    served,     // an engine's rows, or an error that was the statement's own fault
    shed,       // by this front: a retry is harmless
    failed,     // by this front: it may have been executed
    truncated,  // the engine failed after the first rows
    cancelled,  // by the client
    abandoned,  // the client stopped polling
};
// For logs and metrics, spelled as in the ledger.
const char* name_of(StatementOutcome outcome);
decide::RequestState request_state_of(StatementOutcome outcome);

// Why a statement was not accepted.
enum class RejectionReason : std::uint8_t {
    draining,            // this front shuts down
    no_route,            // no route matches
    over_budget,         // the team has used up its hard budget
    front_full,          // too many statements at this front
    user_full,           // too many statements of this user
    statement_too_long,  // its text
};
// For metrics.
const char* name_of(RejectionReason reason);

// The record of a finished statement. Spans are in microseconds.
struct FinishedStatement {
    std::string id;
    std::string trace_token;
    std::string user;
    std::string class_name;
    std::string tenant;  // that the policy counted it as
    std::string engine;  // of the last attempt; empty: none
    std::string error;   // the last one; empty: none
    int attempts = 0;
    StatementOutcome outcome = StatementOutcome::served;
    Micros queued = 0;    // until the first attempt was sent
    Micros running = 0;   // from there until the final document was ready
    Micros fetching = 0;  // from there until the client had fetched it
    Micros total = 0;
    std::int64_t cpu_ms = 0;
    std::int64_t peak_memory_bytes = 0;
    std::int64_t spilled_bytes = 0;
};

}  // namespace gatetiller::front
