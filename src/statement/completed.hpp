// The engines' own account of a query: the query-completed event, as the published event listener posts it, a
// JSON object each (metadata, statistics, context, failureInfo, createTime, endTime). What an engine adds
// beyond is passed over.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::statement {

struct Completed {
    std::string id, state, user, source, trace_token, user_agent, server, environment;
    std::vector<std::string> tags;
    Micros cpu = 0, wall = 0, queued = 0;
    std::int64_t peak_memory_bytes = 0, spilled_bytes = 0, output_bytes = 0, output_rows = 0;
    std::string error_name, error_type;  // empty: it did not fail
    Micros created = 0, ended = 0;       // since 1970
};

// One event from its JSON. Spans are read as seconds or in ISO 8601 ("PT1.5S"), times in ISO 8601 with a zone
// or as seconds.
Result<Completed> read_completed(std::string_view json);
std::string write_completed(const Completed& event);  // one line, without its end

// "2026-11-01T00:00:00.123456Z", and back; a numeric offset is understood too.
std::string utc_text(Micros since_1970);
Result<Micros> read_utc(std::string_view text);

}  // namespace gatetiller::statement
