// Validation of a client's request at a front node, and of the rows in a result.
//
// Every field is checked before the policy or an engine receives the request: nothing malformed reaches an
// engine. Field names and formats are those of the platform's protocol.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// A validated request.
struct ClientRequest {
    // Field `trace`: 16 lower-case hexadecimal digits.
    std::string id;
    // Field `nonce`: 32 lower-case hexadecimal digits, or empty; never empty for a class of keyed
    // idempotency.
    std::string idempotency_key;
    // Field `route`; points into the settings that were given.
    const ClassSettings* cls = nullptr;
    // Field `customer`: a tenant of the settings; empty where the settings have none.
    std::string tenant;
    // Field `patience`: microseconds from when the client sent the request; over 0 and at most 1 s over the
    // class's deadline.
    Micros client_timeout = 0;
    // Field `weight`: core time in microseconds; nothing where it is missing or 0.
    std::optional<Micros> estimated_work;
    // Field `heap_mb`: MiB of memory; 0 where it is missing.
    double estimated_memory_mb = 0;
};

// Bytes of one statement.
constexpr std::size_t kMaxStatementBytes = std::size_t{32} * 1024;

// Validates the fields and the statement (`body`: UTF-8 without NUL, from 1 to kMaxStatementBytes bytes) of
// one request. The error names the first invalid field and its valid form.
Result<ClientRequest> check_request(const std::map<std::string, std::string>& fields, std::string_view body,
                                    const PolicySettings& settings);

// Whether `text` consists of complete rows in the platform's format: UTF-8, `columns` values separated by
// tabs, each row ended by a line feed, no other control characters. No rows are valid, too.
bool is_complete_rows(std::string_view text, int columns);

}  // namespace gatetiller::decide
