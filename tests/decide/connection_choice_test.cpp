// Choice of the connection to an engine for a request.
#include "decide/connection_choice.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace gatetiller::decide {
namespace {

TEST(EngineConnections, AFreeOneGoesFirstAndThenANewOneAndThenTheLeastShared) {
    ConnectionLimits limits;
    limits.max_connections = 3, limits.idle_timeout = 30 * kSecondMicros;
    const Micros now = 100 * kSecondMicros;
    std::vector<ConnectionSnapshot> all(2);
    all[0] = {.last_used = now - 5}, all[1] = {.last_used = now - 1};
    EXPECT_EQ(choose_connection(all, now, limits).reuse, 1u);  // the one used last
    EXPECT_FALSE(choose_connection(all, now, limits).open_if_capacity);
    all[0].open_requests = 2, all[1].open_requests = 1;
    EXPECT_EQ(choose_connection(all, now, limits).reuse, 1u);
    EXPECT_TRUE(choose_connection(all, now, limits).open_if_capacity);
    all.resize(3), all[2].open_requests = 5;
    EXPECT_FALSE(choose_connection(all, now, limits).open_if_capacity);  // max_connections reached
}

TEST(EngineConnections, OnesThatCouldMisleadAreNotUsed) {
    ConnectionLimits limits;
    limits.idle_timeout = 30 * kSecondMicros, limits.max_streams = 4;
    const Micros now = 100 * kSecondMicros;
    const ConnectionSnapshot bad[] = {{.retired = true, .last_used = now},
                                      {.requests_sent = 1, .carried_this_request = true, .last_used = now},
                                      {.last_used = now - 29 * kSecondMicros},
                                      {.open_requests = 4, .last_used = now},
                                      {.requests_sent = 2000, .last_used = now}};
    for (const auto& c : bad)
        EXPECT_FALSE(choose_connection({c}, now, limits).reuse);
    EXPECT_EQ(choose_connection({bad[0], {.last_used = now}}, now, limits).reuse, 1u);
    EXPECT_FALSE(near_idle_timeout({.open_requests = 1, .last_used = 0}, now, limits));
}

}  // namespace
}  // namespace gatetiller::decide
