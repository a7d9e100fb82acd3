// The state of an endpoint from its list entry and the engine's own status.
#include "decide/endpoint_state_tracker.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace gatetiller::decide {
namespace {

TEST(EngineWatch, TheStricterAccountHoldsAndANewProcessIsCold) {
    EndpointStateTracker w;
    Endpoint e;
    e.id = 4;
    EXPECT_TRUE(w.on_listed(e));
    EXPECT_FALSE(w.on_listed(e));
    Micros now = 100 * kSecondMicros;
    EXPECT_TRUE(w.on_status_reported(now, false, false, 50 * kSecondMicros));
    const Micros first = w.endpoint().started_at;
    EXPECT_FALSE(w.on_status_reported(now += kSecondMicros, false, false,
                                      51 * kSecondMicros - 300));  // the same start
    EXPECT_TRUE(w.on_status_reported(now += kSecondMicros, false, false, kSecondMicros / 2));
    EXPECT_GT(w.endpoint().started_at, first);
    EXPECT_TRUE(w.on_status_reported(now, true, false, std::nullopt));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);
    e.state = EndpointState::removed;
    EXPECT_TRUE(w.on_listed(e));
    EXPECT_EQ(w.endpoint().state, EndpointState::removed);
    e.state = EndpointState::ready;
    EXPECT_TRUE(w.on_listed(e));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);  // by its status
    EXPECT_TRUE(w.on_status_reported(now, false, false, std::nullopt));
    EXPECT_EQ(w.endpoint().state, EndpointState::ready);
    EXPECT_TRUE(w.on_status_reported(now, false, true, std::nullopt));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);  // still starting
}

// A front that has just started regards no engine as warm before it has received its status, and withholds
// engines in slow start while the attempts of its earlier incarnation may count towards their budgets.
TEST(EngineWatch, NothingGoesToAnEngineThatMayBeColdUnknown) {
    const Endpoint listed{1, EndpointState::ready, "z", "k", 0, 0, 1};
    const Micros now = 100 * kSecondMicros, warm_up = 15 * kSecondMicros;
    EndpointStateTracker w;
    w.await_status();
    w.on_listed(listed);
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);
    EndpointStateTracker unanswered = w;
    EXPECT_TRUE(unanswered.on_status_unavailable());
    EXPECT_EQ(unanswered.endpoint().state, EndpointState::ready);
    EXPECT_TRUE(w.on_status_reported(now, false, false, 3 * kSecondMicros));
    EXPECT_EQ(w.endpoint().state, EndpointState::ready);
    EXPECT_EQ(w.endpoint().started_at, now - 3 * kSecondMicros);
    EXPECT_TRUE(w.hold_in_slow_start(now, now + kSecondMicros, warm_up));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);
    EXPECT_TRUE(w.hold_in_slow_start(now + kSecondMicros, now + kSecondMicros, warm_up));
    EXPECT_EQ(w.endpoint().state, EndpointState::ready);
    // A warm engine is never withheld, and a draining one remains draining.
    EXPECT_FALSE(w.hold_in_slow_start(now + warm_up, now + 2 * warm_up, warm_up));
    w.on_status_reported(now + warm_up, true, false, std::nullopt);
    EXPECT_FALSE(w.hold_in_slow_start(now + warm_up, 0, warm_up));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);
}

}  // namespace
}  // namespace gatetiller::decide
