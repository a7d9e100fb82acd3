// Whether what a client of a front node asks may come before the module: every field is checked first, since
// nothing malformed may ever reach an engine.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

struct ClientRequest {
    std::string id, idempotency_key;  // token: the client's idempotency key, where the class needs one
    const ClassSettings* cls = nullptr;
    std::string tenant;
    Micros client_timeout = 0;  // from when the client sent it
    std::optional<Micros> estimated_work;
    double estimated_memory_mb = 0;
};

constexpr std::size_t kMaxStatementBytes = 32 * 1024;  // bytes of one statement

// An error names the field and what would be right.
Result<ClientRequest> check_request(const std::map<std::string, std::string>& fields, std::string_view body,
                                    const PolicySettings& settings);

// Rows as the platform sends them: each of `columns` texts parted by tabs, ended by a line feed; nothing
// else.
bool is_complete_rows(std::string_view text, int columns);

}  // namespace gatetiller::decide
