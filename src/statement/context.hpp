// What a client says along with a statement, from its X-Trino- or X-Presto- headers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

namespace gatetiller::statement {

struct Context {
    std::string prefix = "X-Trino-";  // the family that the client speaks, and that it is answered in
    std::string user, source, catalog, schema, trace_token;
    std::vector<std::string> tags;
    std::map<std::string, std::string> session;  // values URL-decoded
    Micros cpu_estimate = 0;                     // X-Trino-Resource-Estimate; 0: not told
    double memory_estimate = 0;                  // bytes
    Micros run_limit = 0;  // the shorter of query_max_run_time and query_max_execution_time; 0: none
    http::Headers passed;  // the family's headers as they came, for the engine
};

Result<Context> read_context(const http::Headers& headers);
// The headers of a statement on its way to an engine, with these session properties set over the client's
// own. `tag`: NAME=VALUE, added to the client's tags; what the client itself sends under that name is left
// out.
http::Headers engine_headers(const Context& context, const std::map<std::string, std::string>& set,
                             const std::string& tag = "");
// Response headers of the engine's family that a gateway passes through.
void pass_response_headers(const http::Headers& from, http::Headers& to);

std::string url_decoded(std::string_view text);
std::string url_encoded(std::string_view text);

}  // namespace gatetiller::statement
