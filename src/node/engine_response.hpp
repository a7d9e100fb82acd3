// Messages of an engine on the platform's protocol, and what their fields mean.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "decide/engine_exchange.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

// One message of an engine: the id of the request that it answers, its kind, its fields and its body, as
// they arrived.
struct EngineResponse {
    std::string id;
    std::string kind;
    std::string fields;
    std::string body;

    // Returns the message without its body for logs, in printable ASCII and at most 160 bytes.
    std::string text() const;
};

// The cost of an attempt as its engine reports it: core time in milliseconds and memory in MiB; 0: not
// reported, or not valid.
struct ReportedCost {
    double work_ms = 0;
    double needed_mb = 0;
};

// One note about the progress of an attempt.
struct ProgressNote {
    ProgressKind kind;
    double value;
};

// Returns the number of pages of a result, or nothing if the field `chunks` does not tell it. The result
// cannot be used then: it is not known when it is complete.
std::optional<std::size_t> read_page_count(const decide::ResponseFields& fields);
// Returns the number of a further page of a result, or nothing if the field `at` does not tell it.
std::optional<std::size_t> read_page_number(const decide::ResponseFields& fields);
ReportedCost read_cost(const decide::ResponseFields& fields);
// Returns the valid values of the load report, or nothing if there is none. A value that is reported twice is
// not valid.
std::optional<LoadReport> read_load_report(const decide::ResponseFields& fields);
// Returns nothing if the message carries no progress, or if that is not valid.
std::optional<ProgressNote> read_progress(const decide::ResponseFields& fields);

}  // namespace gatetiller::node
