// Timeouts of client connections, and the choice of the connection to evict.
#include "decide/client_eviction.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace gatetiller::decide {
namespace {

TEST(Clients, WhoNeverAsksOrStopsHalfwayIsClosedInTime) {
    ClientTimeouts t;
    ClientSnapshot c;
    c.connected_at = 1;
    EXPECT_FALSE(has_timed_out(c, t.first_request_timeout, t));
    EXPECT_TRUE(has_timed_out(c, t.first_request_timeout + 1, t));
    c.has_sent_request = true;
    // An idle connection with earlier requests has no timeout.
    EXPECT_FALSE(has_timed_out(c, 3600 * kSecondMicros, t));
    c.partial_request_since = 10;
    EXPECT_TRUE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.open_requests = 1;  // slow writer that waits for another response: a close would lose it
    EXPECT_FALSE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.open_requests = 0, c.has_unsent = true;
    EXPECT_FALSE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.has_unsent = false, c.partial_request_since = 0, c.closing = true, c.closing_since = 5;
    EXPECT_FALSE(has_timed_out(c, 6, t));
    EXPECT_TRUE(has_timed_out(c, 5 + t.linger_timeout, t));
}

TEST(Clients, RoomIsMadeByWhoNeedsItsConnectionLeast) {
    const ClientTimeouts times;
    const Micros later = 3600 * kSecondMicros;  // after all graces
    const auto makes_room = [&](const std::vector<ClientSnapshot>& clients) -> std::optional<std::size_t> {
        const auto leaver = decide::select_eviction(clients, later, times);
        return leaver ? std::optional(leaver->index) : std::nullopt;
    };
    std::vector<ClientSnapshot> all(4);
    // Open request.
    all[0] = {.connected_at = 1, .last_active_at = 90, .open_requests = 1, .has_sent_request = true};
    all[1] = {.connected_at = 2, .last_active_at = 50, .has_sent_request = true};
    all[2] = {.connected_at = 3, .last_active_at = 40, .has_sent_request = true};  // longest idle
    all[3] = {.connected_at = 99, .last_active_at = 99};                           // no request sent
    EXPECT_EQ(makes_room(all), 3u);
    all[3].open_requests = 1;
    EXPECT_EQ(makes_room(all), 2u);
    all[1].closing = true;
    EXPECT_EQ(makes_room(all), 1u);
    for (auto& c : all)
        c.open_requests = 1;
    EXPECT_FALSE(makes_room(all));
}

// All pairs of the kinds of clients: both, one or neither of them is evictable now.
TEST(Clients, WhoMayLeaveNowGoesBeforeWhoMustBeWaitedFor) {
    const ClientTimeouts t;
    const Micros now = 100 * kSecondMicros;
    const std::vector<ClientSnapshot> kinds{
        {.connected_at = 1, .open_requests = 1, .has_sent_request = true},  // open request
        {.connected_at = 1, .has_unsent = true, .has_sent_request = true},  // response being written
        {.connected_at = now - 1},                                          // within first_byte_grace
        {.connected_at = now - t.first_byte_grace},                         // after first_byte_grace
        {.connected_at = 1,
         .last_active_at = now - 1,
         .has_sent_request = true},  // within next_request_grace
        {.connected_at = 1, .last_active_at = now - t.next_request_grace, .has_sent_request = true},  // idle
        {.connected_at = 1, .partial_request_since = now - 1, .has_sent_request = true},  // partial request
        {.connected_at = 1,
         .partial_request_since = now - t.partial_request_timeout,
         .has_sent_request = true},  // partial request timed out
        {.connected_at = 1, .has_sent_request = true, .closing = true, .closing_since = now - 1},
    };
    for (const auto& a : kinds)
        for (const auto& b : kinds) {
            const auto at_a = evictable_at(a, t), at_b = evictable_at(b, t);
            const auto leaver = select_eviction({a, b}, now, t);
            ASSERT_EQ(leaver.has_value(), at_a || at_b);
            if (!leaver)
                continue;
            EXPECT_EQ(leaver->evictable_at, leaver->index == 0 ? at_a : at_b);
            if ((at_a && *at_a <= now) || (at_b && *at_b <= now)) {
                EXPECT_LE(leaver->evictable_at, now);
            } else
                EXPECT_EQ(leaver->evictable_at, std::min(at_a.value_or(now * 2), at_b.value_or(now * 2)));
        }
    for (const std::size_t owed : {0u, 1u})
        EXPECT_FALSE(evictable_at(kinds[owed], t));
    // Among idle clients and one within first_byte_grace, an idle one is evicted, so that the new client need
    // not wait. When the one in its grace was evicted first, at most 300 clients a second could connect
    // (incident herd+crowd, seed 430580087865).
    EXPECT_EQ(select_eviction({kinds[2], kinds[5]}, now, t)->index, 1u);
}

}  // namespace
}  // namespace gatetiller::decide
