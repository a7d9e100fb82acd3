// The state of an endpoint from its list entry and the engine's own status.
#include "decide/endpoint_state_tracker.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace gatetiller::decide {
namespace {

TEST(EndpointStateTracker, ReportsTheMoreRestrictiveStateAndTheLaterStart) {
    EndpointStateTracker tracker;
    Endpoint entry;
    entry.id = 4;
    EXPECT_TRUE(tracker.on_listed(entry));
    EXPECT_FALSE(tracker.on_listed(entry));
    Micros now = 100 * kSecondMicros;
    EXPECT_TRUE(tracker.on_status_reported(now, false, false, 50 * kSecondMicros));
    const Micros first = tracker.endpoint().started_at;
    EXPECT_FALSE(tracker.on_status_reported(now += kSecondMicros, false, false,
                                            51 * kSecondMicros - 300));  // the same start
    EXPECT_TRUE(tracker.on_status_reported(now += kSecondMicros, false, false, kSecondMicros / 2));
    EXPECT_GT(tracker.endpoint().started_at, first);
    EXPECT_TRUE(tracker.on_status_reported(now, true, false, std::nullopt));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);
    EXPECT_FALSE(tracker.on_status_reported(now, std::nullopt, false, std::nullopt));  // an unknown state
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);
    entry.state = EndpointState::removed;
    EXPECT_TRUE(tracker.on_listed(entry));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::removed);
    entry.state = EndpointState::ready;
    EXPECT_TRUE(tracker.on_listed(entry));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);  // by its status
    EXPECT_TRUE(tracker.on_status_reported(now, false, false, std::nullopt));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::ready);
    EXPECT_TRUE(tracker.on_status_reported(now, false, true, std::nullopt));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);  // still starting
}

// A front that has just started regards no engine as warm before it has received its status, and withholds
// engines in slow start while the attempts of its earlier incarnation may count towards their budgets.
TEST(EndpointStateTracker, ReportsDrainingUntilSlowStartIsKnown) {
    const Endpoint listed{1, EndpointState::ready, "z", "k", 0, 0, 1};
    const Micros now = 100 * kSecondMicros, slow_start_window = 15 * kSecondMicros;
    EndpointStateTracker tracker;
    tracker.await_status();
    tracker.on_listed(listed);
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);
    EndpointStateTracker unavailable = tracker;
    EXPECT_TRUE(unavailable.on_status_unavailable());
    EXPECT_EQ(unavailable.endpoint().state, EndpointState::ready);
    EXPECT_TRUE(tracker.on_status_reported(now, false, false, 3 * kSecondMicros));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::ready);
    EXPECT_EQ(tracker.endpoint().started_at, now - 3 * kSecondMicros);
    EXPECT_TRUE(tracker.hold_in_slow_start(now, now + kSecondMicros, slow_start_window));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);
    EXPECT_TRUE(tracker.hold_in_slow_start(now + kSecondMicros, now + kSecondMicros, slow_start_window));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::ready);
    // A warm engine is never withheld, and a draining one remains draining.
    EXPECT_FALSE(
        tracker.hold_in_slow_start(now + slow_start_window, now + 2 * slow_start_window, slow_start_window));
    tracker.on_status_reported(now + slow_start_window, true, false, std::nullopt);
    EXPECT_FALSE(tracker.hold_in_slow_start(now + slow_start_window, 0, slow_start_window));
    EXPECT_EQ(tracker.endpoint().state, EndpointState::draining);
}

}  // namespace
}  // namespace gatetiller::decide
