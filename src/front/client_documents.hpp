// Documents and headers of responses that the front itself generates.
#pragma once

#include <string>

#include "front/active_statement.hpp"
#include "statement/document.hpp"

namespace gatetiller::front {

// The statement was not executed; a retry is harmless.
statement::Document shed_document(const ActiveStatement& statement);
// The statement may have been executed. `now`: loop time; within 100 ms of the deadline the error is a
// time-out.
statement::Document failed_document(const ActiveStatement& statement, Micros now);
// The engine of the attempt stopped responding. `reason` is included in the client's error message.
statement::Document engine_lost_document(const StatementAttempt& attempt, const std::string& reason);
// Ends a statement whose first rows were already sent, so that the client knows that its result is
// incomplete.
statement::Document truncated_document(statement::Document last);

// Returns the value of a Retry-After header: whole seconds, rounded up, at least 1.
std::string retry_after_value(Micros duration);

}  // namespace gatetiller::front
