// Classification of an attempt's end, for all kinds, statuses and error names.
#include "decide/attempt_end.hpp"

#include <gtest/gtest.h>

#include <string>

namespace gatetiller::decide {
namespace {

TEST(AttemptEnd, OnlyWhatTheProtocolProvesNeverRanCountsSo) {
    using How = AttemptEnd::Kind;
    const auto never_ran = [](AttemptOutcome o) {
        return o == AttemptOutcome::rejected || o == AttemptOutcome::connection_refused ||
               o == AttemptOutcome::not_sent;
    };
    for (const How how : {How::answered, How::not_sent, How::connect_timeout, How::local_resource_exhausted,
                          How::rejected, How::connection_lost, How::timed_out})
        for (const int status : {0, 200, 400, 404, 429, 500, 502, 503, 504})
            for (const char* name : {"", "QUERY_QUEUE_FULL", "SERVER_SHUTTING_DOWN", "SYNTAX_ERROR"})
                for (const bool ran : {false, true}) {
                    const std::string type =
                        std::string(name) == "SYNTAX_ERROR" ? "USER_ERROR" : "INSUFFICIENT_RESOURCES";
                    const auto v = classify_attempt_end({how, status, *name != 0, type, name, ran});
                    const bool proven =
                        how == How::not_sent || how == How::connect_timeout ||
                        how == How::local_resource_exhausted ||
                        (how == How::rejected && (status == 429 || status == 503)) ||
                        (how == How::answered && std::string(name) == "QUERY_QUEUE_FULL" && !ran);
                    EXPECT_EQ(never_ran(v.outcome), proven);
                    // Only a response of an engine is forwarded to the client.
                    if (v.for_client) {
                        EXPECT_TRUE(how == How::answered || how == How::rejected);
                    }
                    EXPECT_EQ(v.outcome == AttemptOutcome::succeeded,
                              how == How::answered && (*name == 0 || type == "USER_ERROR"));
                }
}

}  // namespace
}  // namespace gatetiller::decide
