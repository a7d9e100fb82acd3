// EndpointList: serials, suspects, restarts of the numbering, start times.
#include "decide/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace gatetiller::decide {
namespace {

DiscoveredEndpoint engine(const std::string& name, const std::string& address,
                          EndpointState state = EndpointState::ready) {
    DiscoveredEndpoint endpoint;
    endpoint.name = name, endpoint.address = address, endpoint.state = state;
    return endpoint;
}

TEST(EndpointListTest, AcceptsOnlyNewerListsAndRemovesUnlistedEndpoints) {
    EndpointList list;
    const auto first = list.apply(3, {engine("a", "h:1"), engine("b", "h:2")}, 0, 0);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->kind, EndpointUpdateKind::cached);
    EXPECT_EQ(first->endpoints.size(), 2u);
    EXPECT_FALSE(list.apply(3, {}, 0, 0));  // the same serial
    EXPECT_FALSE(list.apply(2, {}, 0, 0));  // an older list
    const auto second = list.apply(4, {engine("b", "h:2", EndpointState::draining)}, 0, 0);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->kind, EndpointUpdateKind::incremental);
    ASSERT_EQ(second->endpoints.size(), 2u);
    EXPECT_EQ(second->endpoints[0].state, EndpointState::draining);
    EXPECT_EQ(second->endpoints[1].state, EndpointState::removed);
    EXPECT_EQ(second->endpoints[1].id, first->endpoints[0].id);
    EXPECT_FALSE(list.apply(5, {engine("b", "h:2", EndpointState::draining)}, 0, 0));  // nothing changed
    EXPECT_EQ(list.serial(), 5u);
}

TEST(EndpointListTest, AssignsANewIdToANewNameAtTheSameAddress) {
    EndpointList list;
    const auto first = list.apply(1, {engine("a", "h:1")}, 0, 0);
    const auto second = list.apply(2, {engine("b", "h:1")}, 0, 0);
    ASSERT_TRUE(second);
    ASSERT_EQ(second->endpoints.size(), 2u);
    EXPECT_NE(second->endpoints[0].id, first->endpoints[0].id);
    EXPECT_EQ(second->endpoints[0].state, EndpointState::ready);
}

TEST(EndpointListTest, ConvertsAStartToTheMonotonicClockOnce) {
    EndpointList list;
    ASSERT_TRUE(list.apply(1, {engine("b", "h:2")}, 40 * kSecondMicros, 94 * kSecondMicros));
    auto recent = engine("a", "h:1");
    recent.started_at = 100 * kSecondMicros;
    auto update = list.apply(2, {engine("b", "h:2"), recent}, 50 * kSecondMicros, 104 * kSecondMicros);
    EXPECT_EQ(update->endpoints[0].started_at, 46 * kSecondMicros);
    recent.state = EndpointState::draining;  // the wall clock was set back meanwhile
    update = list.apply(3, {engine("b", "h:2"), recent}, 51 * kSecondMicros, 90 * kSecondMicros);
    EXPECT_EQ(update->endpoints[0].started_at, 46 * kSecondMicros);
    recent.started_at = 0;
    update = list.apply(4, {engine("b", "h:2"), recent}, 52 * kSecondMicros, 0);
    EXPECT_EQ(update->endpoints[0].started_at, 0);
}

// The wall clock may be stepped before the process starts or while it runs.
TEST(EndpointListTest, LimitsANewEnginesAgeByTheLastListWithoutIt) {
    constexpr Micros kHour = 3600 * kSecondMicros;
    for (const Micros step : {kHour, 30 * kSecondMicros, -30 * kSecondMicros, -kHour}) {
        EndpointList list;
        const Micros wall = 100'000 * kSecondMicros;
        ASSERT_TRUE(list.apply(1, {engine("a", "h:1")}, 10 * kSecondMicros, wall));
        EXPECT_FALSE(list.apply(1, {engine("a", "h:1")}, 20 * kSecondMicros, wall + 10 * kSecondMicros,
                                20 * kSecondMicros));
        auto recent = engine("b", "h:2");
        recent.started_at = wall + 20'500 * kMillisecond;  // by a correct clock
        const auto update =
            list.apply(2, {engine("a", "h:1"), recent}, 21 * kSecondMicros, wall + 11 * kSecondMicros + step);
        ASSERT_TRUE(update);
        EXPECT_GE(update->endpoints[0].started_at, 20 * kSecondMicros) << step;
        EXPECT_LE(update->endpoints[0].started_at, 21 * kSecondMicros) << step;
    }
}

// The age of an engine in the first list is known only from the wall clock, which may be wrong by an hour.
TEST(EndpointListTest, CountsEnginesOfTheFirstListAsJustStartedUnlessOld) {
    constexpr Micros kHour = 3'600 * kSecondMicros, now = 20'000 * kSecondMicros, started = 30 * kHour;
    for (const Micros step : {-kHour, -5 * kSecondMicros, Micros{0}, 5 * kSecondMicros, kHour}) {
        auto recent = engine("a", "h:1"), old = engine("b", "h:2");
        recent.started_at = started, old.started_at = started - 4 * kHour;
        EndpointList list;
        const auto update = list.apply(1, {recent, old}, now, started + kSecondMicros + step);
        ASSERT_TRUE(update);
        EXPECT_EQ(update->endpoints[0].started_at, now) << step;
        EXPECT_LT(update->endpoints[1].started_at, now - kHour) << step;
    }
}

// The starts in one list are from one clock, so that their differences are right whatever this machine's
// clock.
TEST(EndpointListTest, DerivesAgesFromTheLatestStartInTheList) {
    constexpr Micros now = 20'000 * kSecondMicros, started = 100'000 * kSecondMicros;
    for (const Micros step : {-3'600 * kSecondMicros, Micros{0}, 3'600 * kSecondMicros}) {
        auto older = engine("a", "h:1"), latest = engine("b", "h:2");
        older.started_at = started - 8 * kSecondMicros, latest.started_at = started;
        EndpointList list;
        const auto update = list.apply(1, {older, latest}, now, started + kSecondMicros + step);
        ASSERT_TRUE(update);
        EXPECT_EQ(update->endpoints[0].started_at, now - 8 * kSecondMicros) << step;
        EXPECT_EQ(update->endpoints[1].started_at, now) << step;
    }
}

TEST(EndpointListTest, LimitsARestartedEnginesAgeByTheLastListWithTheOldStart) {
    EndpointList list;
    auto a = engine("a", "h:1");
    a.started_at = 50 * kSecondMicros;
    ASSERT_TRUE(list.apply(1, {a}, 100 * kSecondMicros, 160 * kSecondMicros));
    a.started_at = 150 * kSecondMicros;
    const auto update = list.apply(2, {a}, 103 * kSecondMicros, 4'000 * kSecondMicros);
    ASSERT_TRUE(update);
    EXPECT_GE(update->endpoints[0].started_at, 100 * kSecondMicros);
}

// ---- Responses with a serial that is not newer than the accepted one

class EndpointListResponses : public ::testing::Test {
protected:
    // Applies a response without delay, 250 ms after the previous one.
    std::optional<EndpointUpdate> receive(std::uint64_t number,
                                          const std::vector<decide::DiscoveredEndpoint>& engines) {
        now += 250 * kMillisecond;
        return list.apply(number, engines, now, now, now);
    }
    const std::vector<decide::DiscoveredEndpoint> ready_list{engine("a", "h:1"), engine("b", "h:2")};
    const std::vector<decide::DiscoveredEndpoint> draining_list{engine("a", "h:1", EndpointState::draining),
                                                                engine("b", "h:2")};
    EndpointList list;
    Micros now = kSecondMicros;
};

TEST_F(EndpointListResponses, OlderListMarksSuspectsUntilTheAcceptedListIsConfirmed) {
    ASSERT_TRUE(receive(9, ready_list));
    const auto suspects =
        receive(8, {engine("a", "h:1", EndpointState::draining), engine("b", "h:2"), engine("c", "h:3")});
    ASSERT_TRUE(suspects);
    ASSERT_EQ(suspects->endpoints.size(), 1u);
    EXPECT_EQ(suspects->endpoints[0].state, EndpointState::draining);
    EXPECT_EQ(list.state(suspects->endpoints[0].id), EndpointState::draining);
    EXPECT_FALSE(list.confirm(9, now)) << "its content must be read to clear the suspects";
    const auto confirmed = receive(9, ready_list);
    ASSERT_TRUE(confirmed);
    ASSERT_EQ(confirmed->endpoints.size(), 1u);
    EXPECT_EQ(confirmed->endpoints[0].state, EndpointState::ready);
    EXPECT_TRUE(list.confirm(9, now));
    EXPECT_EQ(list.serial(), 9u);
}

TEST_F(EndpointListResponses, FollowsARestartedNumbering) {
    ASSERT_TRUE(receive(120, ready_list));
    const Micros since = now;
    while (list.serial() == 120 && now - since < 10 * kSecondMicros)
        (void)receive(3, {engine("b", "h:2")});
    EXPECT_EQ(list.serial(), 3u);
    EXPECT_LE(now - since, 2'500 * kMillisecond);
    EXPECT_EQ(list.endpoints().size(), 1u);
    ASSERT_TRUE(receive(4, draining_list));
}

// The service may also lag behind for some seconds: its outdated lists must not undo drains and removals.
TEST_F(EndpointListResponses, KeepsDrainedAndRemovedEndpointsDrainingAfterARestartedNumbering) {
    ASSERT_TRUE(receive(9, {engine("a", "h:1"), engine("b", "h:2"), engine("c", "h:3")}));
    const auto update = receive(10, {engine("a", "h:1", EndpointState::draining), engine("b", "h:2")});
    ASSERT_TRUE(update);
    const EngineId draining_id = update->endpoints[0].id;
    const std::vector<decide::DiscoveredEndpoint> older{engine("a", "h:1"), engine("b", "h:2"),
                                                        engine("c", "h:3")};
    const Micros since = now;
    while (now - since < 9 * kSecondMicros) {
        (void)receive(3, older);
        EXPECT_EQ(list.state(draining_id), EndpointState::draining);
        for (const auto& [id, endpoint] : list.endpoints())
            EXPECT_EQ(list.state(id) == EndpointState::ready, endpoint.name == "b") << endpoint.name;
    }
    EXPECT_EQ(list.serial(), 3u);
    while (now - since < 16 * kSecondMicros)
        (void)receive(3, older);
    EXPECT_EQ(list.state(draining_id), EndpointState::ready);
}

// A service may occasionally return an older list, also after it has restarted.
TEST_F(EndpointListResponses, DoesNotFollowARestartedNumberingToAnOlderListOfIt) {
    ASSERT_TRUE(receive(120, ready_list));
    for (int i = 0; i < 9; ++i)
        (void)receive(4, draining_list);
    ASSERT_EQ(list.serial(), 4u);
    ASSERT_TRUE(receive(120, ready_list));
    for (int i = 0; i < 7; ++i)
        (void)receive(4, draining_list);
    for (int i = 0; i < 5; ++i) {
        (void)receive(3, ready_list);
        EXPECT_EQ(list.serial(), 120u) << i;
    }
    (void)receive(4, draining_list);
    EXPECT_EQ(list.serial(), 4u);
}

TEST_F(EndpointListResponses, OccasionalOlderListsRemoveNothing) {
    ASSERT_TRUE(receive(9, ready_list));
    for (int i = 0; i < 200; ++i) {
        (void)receive(i % 4 == 0 ? 9 : 8, i % 4 == 0 ? ready_list : std::vector{engine("b", "h:2")});
        ASSERT_EQ(list.endpoints().size(), 2u);
        // An endpoint that an older list lacks is draining until the accepted list is received again.
        for (const auto& [id, endpoint] : list.endpoints())
            EXPECT_EQ(list.state(id) == EndpointState::ready, i % 4 == 0 || endpoint.name == "b")
                << endpoint.name << " " << i;
    }
}

TEST_F(EndpointListResponses, IgnoresResponsesRequestedBeforeTheAcceptedListArrived) {
    ASSERT_TRUE(receive(9, ready_list));
    const Micros requested_at = now - kSecondMicros;
    for (int i = 0; i < 50; ++i) {
        now += 100 * kMillisecond;
        EXPECT_FALSE(list.apply(8, draining_list, now, now, requested_at));
    }
    EXPECT_EQ(list.serial(), 9u);
}

TEST_F(EndpointListResponses, SerialsWrap) {
    ASSERT_TRUE(receive(0xffffffff, ready_list));
    EXPECT_TRUE(receive(0, draining_list));
    EXPECT_TRUE(receive(1, ready_list));
    EXPECT_EQ(list.serial(), 1u);
}

TEST_F(EndpointListResponses, AcceptsOtherContentOfTheAcceptedSerialTheSecondTime) {
    ASSERT_TRUE(receive(9, ready_list));
    const std::vector<decide::DiscoveredEndpoint> other{engine("a", "h:1", EndpointState::draining),
                                                        engine("c", "h:3")};
    const auto first = receive(9, other);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->endpoints.size(), 2u) << "one is draining, one is not listed";
    EXPECT_EQ(first->endpoints[0].state, EndpointState::draining);
    const auto second = receive(9, other);
    ASSERT_TRUE(second);
    EXPECT_EQ(list.endpoints().size(), 2u);
    EXPECT_EQ(list.state(first->endpoints[0].id), EndpointState::draining);
}

}  // namespace
}  // namespace gatetiller::decide
