// RequestLifecycle under random sequences of events.
#include "decide/request_lifecycle.hpp"

#include <gtest/gtest.h>

#include <array>
#include <set>
#include <utility>

#include "base/random.hpp"

namespace gatetiller::decide {
namespace {

TEST(RequestLifecycle, KeepsItsInvariantsUnderRandomEvents) {
    constexpr std::array kEvents = {RequestEvent::attempt_started,    RequestEvent::streaming_started,
                                    RequestEvent::attempt_ended,      RequestEvent::response_ready,
                                    RequestEvent::response_delivered, RequestEvent::client_disconnected};
    std::set<std::pair<RequestPhase, bool>> reached;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        RequestLifecycle lifecycle;
        int responses = 0, closes = 0, stream_starts = 0;
        bool streamed = false;
        for (int i = 0; i < 30; ++i) {
            const RequestEvent event = kEvents[random.below(kEvents.size())];
            const RequestLifecycle before = lifecycle;
            if (!lifecycle.apply(event)) {
                EXPECT_EQ(lifecycle.phase(), before.phase()) << "seed " << seed;
                continue;
            }
            responses += event == RequestEvent::response_ready;
            stream_starts += event == RequestEvent::streaming_started;
            closes += event == RequestEvent::response_delivered || event == RequestEvent::client_disconnected;
            if (event == RequestEvent::attempt_started) {
                EXPECT_FALSE(before.attempt_in_flight() || before.finished() || streamed)
                    << "seed " << seed;  // one at a time, none after rows or a final response
            }
            streamed = streamed || event == RequestEvent::streaming_started;
            EXPECT_LE(responses, 1);
            EXPECT_LE(closes, 1);
            EXPECT_LE(stream_starts, 1);
            EXPECT_EQ(lifecycle.releasable(),
                      lifecycle.phase() == RequestPhase::closed && !lifecycle.attempt_in_flight());
            reached.insert({lifecycle.phase(), lifecycle.attempt_in_flight()});
        }
    }
    // All phases with and without an attempt in flight, but queued with and attempting without one.
    EXPECT_EQ(reached.size(), 8u);
}

}  // namespace
}  // namespace gatetiller::decide
