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
    DiscoveredEndpoint e;
    e.name = name, e.address = address, e.state = state;
    return e;
}

TEST(EngineList, OnlyNewerListsCountAndWhatTheyLackIsGone) {
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

TEST(EngineList, ANewEngineAtAnOldAddressIsAnotherOne) {
    EndpointList list;
    const auto first = list.apply(1, {engine("a", "h:1")}, 0, 0);
    const auto second = list.apply(2, {engine("b", "h:1")}, 0, 0);
    ASSERT_TRUE(second);
    ASSERT_EQ(second->endpoints.size(), 2u);
    EXPECT_NE(second->endpoints[0].id, first->endpoints[0].id);
    EXPECT_EQ(second->endpoints[0].state, EndpointState::ready);
}

TEST(EngineList, AStartIsPutOnTheLoopsClockOnce) {
    EndpointList list;
    ASSERT_TRUE(list.apply(1, {engine("b", "h:2")}, 40 * kSecondMicros, 94 * kSecondMicros));
    auto young = engine("a", "h:1");
    young.started_at = 100 * kSecondMicros;
    auto change = list.apply(2, {engine("b", "h:2"), young}, 50 * kSecondMicros, 104 * kSecondMicros);
    EXPECT_EQ(change->endpoints[0].started_at, 46 * kSecondMicros);
    young.state = EndpointState::draining;  // the wall clock was set back meanwhile
    change = list.apply(3, {engine("b", "h:2"), young}, 51 * kSecondMicros, 90 * kSecondMicros);
    EXPECT_EQ(change->endpoints[0].started_at, 46 * kSecondMicros);
    young.started_at = 0;
    change = list.apply(4, {engine("b", "h:2"), young}, 52 * kSecondMicros, 0);
    EXPECT_EQ(change->endpoints[0].started_at, 0);
}

// The wall clock may be stepped before the process starts or while it runs.
TEST(EngineList, ANewEngineIsNoOlderThanTheLastListThatLackedIt) {
    constexpr Micros kHour = 3600 * kSecondMicros;
    for (const Micros step : {kHour, 30 * kSecondMicros, -30 * kSecondMicros, -kHour}) {
        EndpointList list;
        const Micros wall = 100'000 * kSecondMicros;
        ASSERT_TRUE(list.apply(1, {engine("a", "h:1")}, 10 * kSecondMicros, wall));
        EXPECT_FALSE(list.apply(1, {engine("a", "h:1")}, 20 * kSecondMicros, wall + 10 * kSecondMicros,
                                20 * kSecondMicros));
        auto young = engine("b", "h:2");
        young.started_at = wall + 20'500 * kMillisecond;  // by a correct clock
        const auto change =
            list.apply(2, {engine("a", "h:1"), young}, 21 * kSecondMicros, wall + 11 * kSecondMicros + step);
        ASSERT_TRUE(change);
        EXPECT_GE(change->endpoints[0].started_at, 20 * kSecondMicros) << step;
        EXPECT_LE(change->endpoints[0].started_at, 21 * kSecondMicros) << step;
    }
}

// The age of an engine in the first list is known only from the wall clock, which may be wrong by an hour.
TEST(EngineList, AWallClockWrongBeforeTheStartMakesNoEngineWarm) {
    constexpr Micros kHour = 3'600 * kSecondMicros, now = 20'000 * kSecondMicros, started = 30 * kHour;
    for (const Micros step : {-kHour, -5 * kSecondMicros, Micros{0}, 5 * kSecondMicros, kHour}) {
        auto young = engine("a", "h:1"), old = engine("b", "h:2");
        young.started_at = started, old.started_at = started - 4 * kHour;
        EndpointList list;
        const auto change = list.apply(1, {young, old}, now, started + kSecondMicros + step);
        ASSERT_TRUE(change);
        EXPECT_EQ(change->endpoints[0].started_at, now) << step;
        EXPECT_LT(change->endpoints[1].started_at, now - kHour) << step;
    }
}

// The starts in one list are from one clock, so that their differences are right whatever this machine's
// clock.
TEST(EngineList, AnEngineIsAsOldAsAnotherOfItsListIsYounger) {
    constexpr Micros now = 20'000 * kSecondMicros, started = 100'000 * kSecondMicros;
    for (const Micros step : {-3'600 * kSecondMicros, Micros{0}, 3'600 * kSecondMicros}) {
        auto older = engine("a", "h:1"), latest = engine("b", "h:2");
        older.started_at = started - 8 * kSecondMicros, latest.started_at = started;
        EndpointList list;
        const auto change = list.apply(1, {older, latest}, now, started + kSecondMicros + step);
        ASSERT_TRUE(change);
        EXPECT_EQ(change->endpoints[0].started_at, now - 8 * kSecondMicros) << step;
        EXPECT_EQ(change->endpoints[1].started_at, now) << step;
    }
}

TEST(EngineList, ARestartUnderTheSameNameIsNoOlderThanTheLastListThatLackedIt) {
    EndpointList list;
    auto a = engine("a", "h:1");
    a.started_at = 50 * kSecondMicros;
    ASSERT_TRUE(list.apply(1, {a}, 100 * kSecondMicros, 160 * kSecondMicros));
    a.started_at = 150 * kSecondMicros;
    const auto change = list.apply(2, {a}, 103 * kSecondMicros, 4'000 * kSecondMicros);
    ASSERT_TRUE(change);
    EXPECT_GE(change->endpoints[0].started_at, 100 * kSecondMicros);
}

// ---- Responses with a serial that is not newer than the accepted one

class ListAnswers : public ::testing::Test {
protected:
    // Applies a response without delay, 250 ms after the previous one.
    std::optional<EndpointUpdate> hear(std::uint64_t number,
                                       const std::vector<decide::DiscoveredEndpoint>& engines) {
        now += 250 * kMillisecond;
        return list.apply(number, engines, now, now, now);
    }
    const std::vector<decide::DiscoveredEndpoint> on{engine("a", "h:1"), engine("b", "h:2")};
    const std::vector<decide::DiscoveredEndpoint> drains{engine("a", "h:1", EndpointState::draining),
                                                         engine("b", "h:2")};
    EndpointList list;
    Micros now = kSecondMicros;
};

TEST_F(ListAnswers, OfAnOlderListOnlyDrainsCountAndOnlyUntilTheOneHeldComesAgain) {
    ASSERT_TRUE(hear(9, on));
    const auto doubt =
        hear(8, {engine("a", "h:1", EndpointState::draining), engine("b", "h:2"), engine("c", "h:3")});
    ASSERT_TRUE(doubt);
    ASSERT_EQ(doubt->endpoints.size(), 1u);
    EXPECT_EQ(doubt->endpoints[0].state, EndpointState::draining);
    EXPECT_EQ(list.state(doubt->endpoints[0].id), EndpointState::draining);
    EXPECT_FALSE(list.confirm(9, now)) << "its content must be read, to settle the doubt";
    const auto settled = hear(9, on);
    ASSERT_TRUE(settled);
    ASSERT_EQ(settled->endpoints.size(), 1u);
    EXPECT_EQ(settled->endpoints[0].state, EndpointState::ready);
    EXPECT_TRUE(list.confirm(9, now));
    EXPECT_EQ(list.serial(), 9u);
}

TEST_F(ListAnswers, ANumberingThatHasStartedAnewIsFollowed) {
    ASSERT_TRUE(hear(120, on));
    const Micros since = now;
    while (list.serial() == 120 && now - since < 10 * kSecondMicros)
        (void)hear(3, {engine("b", "h:2")});
    EXPECT_EQ(list.serial(), 3u);
    EXPECT_LE(now - since, 2'500 * kMillisecond);
    EXPECT_EQ(list.endpoints().size(), 1u);
    ASSERT_TRUE(hear(4, drains));
}

// The service may also lag behind for some seconds: its outdated lists must not undo drains and removals.
TEST_F(ListAnswers, WhatDrainedOrWentBeforeANumberingStartedAnewStaysSoForAWhile) {
    ASSERT_TRUE(hear(9, {engine("a", "h:1"), engine("b", "h:2"), engine("c", "h:3")}));
    const auto told = hear(10, {engine("a", "h:1", EndpointState::draining), engine("b", "h:2")});
    ASSERT_TRUE(told);
    const EngineId drained = told->endpoints[0].id;
    const std::vector<decide::DiscoveredEndpoint> older{engine("a", "h:1"), engine("b", "h:2"),
                                                        engine("c", "h:3")};
    const Micros since = now;
    while (now - since < 9 * kSecondMicros) {
        (void)hear(3, older);
        EXPECT_EQ(list.state(drained), EndpointState::draining);
        for (const auto& [id, e] : list.endpoints())
            EXPECT_EQ(list.state(id) == EndpointState::ready, e.name == "b") << e.name;
    }
    EXPECT_EQ(list.serial(), 3u);
    while (now - since < 16 * kSecondMicros)
        (void)hear(3, older);
    EXPECT_EQ(list.state(drained), EndpointState::ready);
}

// A service may occasionally return an older list, also after it has restarted.
TEST_F(ListAnswers, ANumberingThatHasStartedAnewIsNotFollowedToAnOlderListOfItsOwn) {
    ASSERT_TRUE(hear(120, on));
    for (int i = 0; i < 9; ++i)
        (void)hear(4, drains);
    ASSERT_EQ(list.serial(), 4u);
    ASSERT_TRUE(hear(120, on));
    for (int i = 0; i < 7; ++i)
        (void)hear(4, drains);
    for (int i = 0; i < 5; ++i) {
        (void)hear(3, on);
        EXPECT_EQ(list.serial(), 120u) << i;
    }
    (void)hear(4, drains);
    EXPECT_EQ(list.serial(), 4u);
}

TEST_F(ListAnswers, OlderListsNowAndThenChangeNothing) {
    ASSERT_TRUE(hear(9, on));
    for (int i = 0; i < 200; ++i) {
        (void)hear(i % 4 == 0 ? 9 : 8, i % 4 == 0 ? on : std::vector{engine("b", "h:2")});
        ASSERT_EQ(list.endpoints().size(), 2u);
        // An endpoint that an older list lacks is draining until the accepted list is received again.
        for (const auto& [id, e] : list.endpoints())
            EXPECT_EQ(list.state(id) == EndpointState::ready, i % 4 == 0 || e.name == "b")
                << e.name << " " << i;
    }
}

TEST_F(ListAnswers, AnswersToQuestionsBeforeTheListCameSayNothingOfNow) {
    ASSERT_TRUE(hear(9, on));
    const Micros asked = now - kSecondMicros;
    for (int i = 0; i < 50; ++i) {
        now += 100 * kMillisecond;
        EXPECT_FALSE(list.apply(8, drains, now, now, asked));
    }
    EXPECT_EQ(list.serial(), 9u);
}

TEST_F(ListAnswers, SerialsWrap) {
    ASSERT_TRUE(hear(0xffffffff, on));
    EXPECT_TRUE(hear(0, drains));
    EXPECT_TRUE(hear(1, on));
    EXPECT_EQ(list.serial(), 1u);
}

TEST_F(ListAnswers, OtherContentUnderTheNumberHeldIsTakenTheSecondTimeItsDrainsAtOnce) {
    ASSERT_TRUE(hear(9, on));
    const std::vector<decide::DiscoveredEndpoint> other{engine("a", "h:1", EndpointState::draining),
                                                        engine("c", "h:3")};
    const auto first = hear(9, other);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->endpoints.size(), 2u) << "one drains, one is not there";
    EXPECT_EQ(first->endpoints[0].state, EndpointState::draining);
    const auto second = hear(9, other);
    ASSERT_TRUE(second);
    EXPECT_EQ(list.endpoints().size(), 2u);
    EXPECT_EQ(list.state(first->endpoints[0].id), EndpointState::draining);
}

}  // namespace
}  // namespace gatetiller::decide
