// How much a front holds for its clients: statements in all, for each user, and rows waiting to be fetched.
// Bounds are put here so that a crowd or one slow reader costs a bounded part of the front, and never its
// memory.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/time.hpp"

namespace gatetiller::decide {

struct StatementLimits {
    std::size_t statements = 50'000;  // taken and not finished
    std::size_t statements_per_user = 20'000;
    std::size_t statement_bytes = 1 << 20;  // one statement's text
    std::size_t row_buffer_bytes =
        2 << 20;  // bytes that one statement may have waiting before its engine is asked on
    std::size_t total_row_buffer_bytes = 512 << 20;  // bytes waiting for all statements
    Micros retry_after = kSecondMicros;              // hint where a statement isn't taken
};

enum class AdmissionVerdict {
    admitted,
    gateway_full,
    user_limit_reached,
    statement_too_long
};

class StatementAdmission {
public:
    explicit StatementAdmission(StatementLimits limits) : limits_(limits) {}

    AdmissionVerdict admit(const std::string& user, std::size_t text_bytes);  // counts it where taken
    void release(const std::string& user);
    // Whether a statement with `waiting` bytes of rows, of `in_all` at this front, may ask its engine for
    // more. Past the bound for all, only those with nothing waiting go on, so that every reader still gets
    // its rows, one page at a time.
    bool can_fetch_more(std::size_t waiting, std::size_t in_all) const {
        return waiting < limits_.row_buffer_bytes &&
               (waiting == 0 || in_all < limits_.total_row_buffer_bytes);
    }
    std::size_t statements() const {
        return statements_;
    }
    const StatementLimits& limits() const {
        return limits_;
    }

private:
    StatementLimits limits_;
    std::size_t statements_ = 0;
    std::map<std::string, std::size_t> by_user_;
};

}  // namespace gatetiller::decide
