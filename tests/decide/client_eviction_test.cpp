// Timeouts of client connections, and which one is evicted for another.
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
    EXPECT_FALSE(has_timed_out(c, 3600 * kSecondMicros, t));  // one that has served is left alone
    c.partial_request_since = 10;
    EXPECT_TRUE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.open_requests = 1;  // a slow writer that waits for another answer: a close would lose that
    EXPECT_FALSE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.open_requests = 0, c.has_unsent = true;
    EXPECT_FALSE(has_timed_out(c, 10 + t.partial_request_timeout, t));
    c.has_unsent = false, c.partial_request_since = 0, c.closing = true, c.closing_since = 5;
    EXPECT_FALSE(has_timed_out(c, 6, t));
    EXPECT_TRUE(has_timed_out(c, 5 + t.linger_timeout, t));
}

TEST(Clients, RoomIsMadeByWhoNeedsItsConnectionLeast) {
    const ClientTimeouts times;
    const Micros later = 3600 * kSecondMicros;  // all have had their time
    const auto makes_room = [&](const std::vector<ClientSnapshot>& clients) -> std::optional<std::size_t> {
        const auto leaver = decide::select_eviction(clients, later, times);
        return leaver ? std::optional(leaver->index) : std::nullopt;
    };
    std::vector<ClientSnapshot> all(4);
    all[0] = {
        .connected_at = 1, .last_active_at = 90, .open_requests = 1, .has_sent_request = true};  // at work
    all[1] = {.connected_at = 2, .last_active_at = 50, .has_sent_request = true};
    all[2] = {.connected_at = 3, .last_active_at = 40, .has_sent_request = true};  // idle for longest
    all[3] = {.connected_at = 99, .last_active_at = 99};                           // never asked
    EXPECT_EQ(makes_room(all), 3u);
    all[3].open_requests = 1;
    EXPECT_EQ(makes_room(all), 2u);
    all[1].closing = true;
    EXPECT_EQ(makes_room(all), 1u);
    for (auto& c : all)
        c.open_requests = 1;
    EXPECT_FALSE(makes_room(all));
}

// Every client is one of these; all pairs of them, at a moment when both, one or neither may leave.
TEST(Clients, WhoMayLeaveNowGoesBeforeWhoMustBeWaitedFor) {
    const ClientTimeouts t;
    const Micros now = 100 * kSecondMicros;
    const std::vector<ClientSnapshot> kinds{
        {.connected_at = 1, .open_requests = 1, .has_sent_request = true},         // owed an answer
        {.connected_at = 1, .has_unsent = true, .has_sent_request = true},         // it is on its way
        {.connected_at = now - 1},                                                 // about to ask
        {.connected_at = now - t.first_byte_grace},                                // silent
        {.connected_at = 1, .last_active_at = now - 1, .has_sent_request = true},  // asks again soon
        {.connected_at = 1, .last_active_at = now - t.next_request_grace, .has_sent_request = true},  // rests
        {.connected_at = 1,
         .partial_request_since = now - 1,
         .has_sent_request = true},  // in the middle of it
        {.connected_at = 1,
         .partial_request_since = now - t.partial_request_timeout,
         .has_sent_request = true},  // stopped there
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
    // A table of resting clients with one young and silent one: the newcomer doesn't wait for the latter.
    // Found on herd+crowd (seed 430580087865): with it at the head of the rank, 300 a second came in at most.
    EXPECT_EQ(select_eviction({kinds[2], kinds[5]}, now, t)->index, 1u);
}

}  // namespace
}  // namespace gatetiller::decide
