// Classification of an attempt's end, for all kinds, statuses and error names.
#include "decide/attempt_end.hpp"

#include <gtest/gtest.h>

#include <string>

namespace gatetiller::decide {
namespace {

TEST(AttemptEnd, CountsAsNotExecutedOnlyWhereTheProtocolProvesIt) {
    using Kind = AttemptEnd::Kind;
    const auto not_executed = [](AttemptOutcome o) {
        return o == AttemptOutcome::rejected || o == AttemptOutcome::connection_refused ||
               o == AttemptOutcome::not_sent;
    };
    for (const Kind kind :
         {Kind::answered, Kind::not_sent, Kind::connect_timeout, Kind::local_resource_exhausted,
          Kind::rejected, Kind::connection_lost, Kind::timed_out})
        for (const int status : {0, 200, 400, 404, 429, 500, 502, 503, 504})
            for (const char* name : {"", "QUERY_QUEUE_FULL", "SERVER_SHUTTING_DOWN", "SYNTAX_ERROR"})
                for (const bool executed : {false, true}) {
                    const std::string type =
                        std::string(name) == "SYNTAX_ERROR" ? "USER_ERROR" : "INSUFFICIENT_RESOURCES";
                    const auto verdict =
                        classify_attempt_end({kind, status, *name != 0, type, name, executed});
                    const bool expected =
                        kind == Kind::not_sent || kind == Kind::connect_timeout ||
                        kind == Kind::local_resource_exhausted ||
                        (kind == Kind::rejected && (status == 429 || status == 503)) ||
                        (kind == Kind::answered && std::string(name) == "QUERY_QUEUE_FULL" && !executed);
                    EXPECT_EQ(not_executed(verdict.outcome), expected);
                    // Only a response of an engine is forwarded to the client.
                    if (verdict.for_client) {
                        EXPECT_TRUE(kind == Kind::answered || kind == Kind::rejected);
                    }
                    EXPECT_EQ(verdict.outcome == AttemptOutcome::succeeded,
                              kind == Kind::answered && (*name == 0 || type == "USER_ERROR"));
                }
}

}  // namespace
}  // namespace gatetiller::decide
