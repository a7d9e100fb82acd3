#include "front/client_documents.hpp"

#include <algorithm>

namespace gatetiller::front {
namespace {

constexpr Micros kNearDeadline = 100 * kMillisecond;

statement::Document error_document(const statement::Stats& stats, const char* error_name,
                                   std::string message) {
    statement::Document document;
    document.stats = stats;
    document.stats.state = "FAILED";
    document.error = statement::error_named(error_name, std::move(message));
    return document;
}

const char* error_name_of_failure(const ActiveStatement& statement, Micros now) {
    const bool timed_out = statement.last_attempt_outcome == AttemptOutcome::timed_out;
    if (timed_out || now + kNearDeadline >= statement.deadline)
        return "EXCEEDED_TIME_LIMIT";
    if (statement.last_attempt_outcome == AttemptOutcome::connection_reset)
        return "REMOTE_HOST_GONE";
    return "GENERIC_INTERNAL_ERROR";
}

}  // namespace

statement::Document shed_document(const ActiveStatement& statement) {
    const std::string reason =
        statement.last_error.empty() ? "no engine has room in time" : statement.last_error;
    return error_document(statement.stats, "QUERY_QUEUE_FULL",
                          "refused, trying again is harmless: " + reason);
}

statement::Document failed_document(const ActiveStatement& statement, Micros now) {
    std::string message = "it may have run";
    if (!statement.last_error.empty())
        message += ": " + statement.last_error;
    return error_document(statement.stats, error_name_of_failure(statement, now), std::move(message));
}

statement::Document engine_lost_document(const StatementAttempt& attempt, const std::string& reason) {
    return error_document(attempt.stats, "REMOTE_HOST_GONE",
                          "engine " + attempt.statement.last_engine + ": " + reason);
}

statement::Document truncated_document(statement::Document last) {
    if (!last.error)
        last.error = statement::error_named("REMOTE_HOST_GONE", "the engine failed after the first rows");
    last.data.clear();
    last.next_uri.clear();
    return last;
}

std::string retry_after_value(Micros duration) {
    return std::to_string(std::max<Micros>(1, (duration + kSecondMicros - 1) / kSecondMicros));
}

}  // namespace gatetiller::front
