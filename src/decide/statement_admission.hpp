// Admission of statements at a gateway, and the limit on result rows that wait to be fetched.
//
// The limits bound the memory of the gateway: a burst of statements or one slow reader uses at most a fixed
// part of it. Invariant: statements() and the number of each user equal the statements admitted and not
// released, and their bytes those of the texts of these statements.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/time.hpp"

namespace gatetiller::decide {

struct StatementLimits {
    // Statements that are admitted and not finished.
    std::size_t statements = 50'000;
    // The same of one user.
    std::size_t statements_per_user = 20'000;
    // Bytes of one statement's text.
    std::size_t statement_bytes = 1 << 20;
    // Bytes of the texts of all statements.
    std::size_t total_statement_bytes = 256 << 20;
    // Bytes of one statement's buffered rows from which on no more are fetched from its engine.
    std::size_t row_buffer_bytes = 2 << 20;
    // Bytes of rows buffered for all statements.
    std::size_t total_row_buffer_bytes = 512 << 20;
    // Retry-After of a rejected statement, in microseconds.
    Micros retry_after = kSecondMicros;
};

enum class AdmissionVerdict {
    // The statement is admitted and counted.
    admitted,
    // The gateway has StatementLimits::statements, or total_statement_bytes would be exceeded.
    gateway_full,
    // The user has StatementLimits::statements_per_user.
    user_limit_reached,
    // The text is longer than StatementLimits::statement_bytes.
    statement_too_long
};

class StatementAdmission {
public:
    explicit StatementAdmission(StatementLimits limits) : limits_(limits) {}

    // Decides on a statement of `user` with a text of `text_bytes` bytes, and counts it if it is admitted.
    AdmissionVerdict admit(const std::string& user, std::size_t text_bytes);
    // An admitted statement of `user` with a text of `text_bytes` bytes is finished. Precondition: there is
    // one.
    void release(const std::string& user, std::size_t text_bytes);

    // Whether a statement with `buffered` bytes of rows, of `total_buffered` at this gateway, may fetch more
    // from its engine. Beyond the total limit only statements with an empty buffer may, one page at a time,
    // so that every reader makes progress.
    bool can_fetch_more(std::size_t buffered, std::size_t total_buffered) const {
        return buffered < limits_.row_buffer_bytes &&
               (buffered == 0 || total_buffered < limits_.total_row_buffer_bytes);
    }

    // Statements that are admitted and not released.
    std::size_t statements() const {
        return statements_;
    }
    const StatementLimits& limits() const {
        return limits_;
    }

private:
    StatementLimits limits_;
    std::size_t statements_ = 0;
    std::size_t statement_bytes_ = 0;
    std::map<std::string, std::size_t> statements_by_user_;
};

}  // namespace gatetiller::decide
