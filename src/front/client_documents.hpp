// The documents and headers by which a front itself answers a client.
#pragma once

#include <string>

#include "front/active_statement.hpp"
#include "statement/document.hpp"

namespace gatetiller::front {

// The statement was not executed; a retry is harmless.
statement::Document shed_document(const ActiveStatement& statement);
// The statement may have been executed. `now`: loop time; close to the deadline the error is a time-out.
statement::Document failed_document(const ActiveStatement& statement, Micros now);
// The engine of the attempt stopped answering; `reason` is for the client.
statement::Document engine_lost_document(const StatementAttempt& attempt, const std::string& reason);
// Ends a statement whose rows have begun: the rows that the client has are not complete.
statement::Document truncated_document(statement::Document last);

// The value of a Retry-After header: whole seconds, rounded up, at least 1.
std::string retry_after_value(Micros span);

}  // namespace gatetiller::front
