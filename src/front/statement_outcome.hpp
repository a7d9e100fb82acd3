// Outcomes of accepted statements, reasons for rejecting statements, and the record of a finished statement.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "decide/account.hpp"

namespace gatetiller::front {

// How an accepted statement ended, and which side ended it.
enum class StatementOutcome : std::uint8_t {
    served,     // by an engine: with rows, or with an error caused by the statement itself
    shed,       // by this front, without execution: a retry is harmless
    failed,     // by this front, after a possible execution
    truncated,  // by this front: the engine failed after the first rows
    cancelled,  // by the client
    abandoned,  // by the client, which stopped polling
};
// Returns the name used in logs, metrics and the ledger.
const char* name_of(StatementOutcome outcome);
decide::RequestState request_state_of(StatementOutcome outcome);

// Why a statement was not accepted.
enum class RejectionReason : std::uint8_t {
    draining,            // this front is shutting down
    no_route,            // no route matches
    over_budget,         // the team has used up its hard budget
    front_full,          // too many statements at this front
    user_full,           // too many statements of this user
    statement_too_long,  // its text exceeds the size limit
};
// Returns the name used in metrics.
const char* name_of(RejectionReason reason);

// Record of a finished statement. Durations are in microseconds.
struct FinishedStatement {
    std::string id;
    std::string trace_token;
    std::string user;
    std::string class_name;
    std::string tenant;  // tenant that the policy counted it for
    std::string engine;  // engine of the last attempt; empty: none
    std::string error;   // last error; empty: none
    int attempts = 0;
    StatementOutcome outcome = StatementOutcome::served;
    Micros queued = 0;    // from arrival until the first attempt was sent
    Micros running = 0;   // from there until the final document was ready
    Micros fetching = 0;  // from there until the client had fetched the final document
    Micros total = 0;
    std::int64_t cpu_ms = 0;
    std::int64_t peak_memory_bytes = 0;
    std::int64_t spilled_bytes = 0;
};

}  // namespace gatetiller::front
