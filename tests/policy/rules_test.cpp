// The seven rules, each on both sides of its edge, against one front fed by hand.
#include <gtest/gtest.h>

#include "policy/rig.hpp"

using namespace gatetiller;
using namespace gatetiller::testing;

// ---- rule 1: one final answer, in time, nothing after
// -------------------------------------------------------

TEST(OneAnswer, TimeOutAtTheDeadlineIsAnsweredOnce) {
    Rig rig(plain());
    rig.list({engine(1)});
    rig.demand("a", "short");
    ASSERT_EQ(rig.sends.size(), 1u);
    EXPECT_LE(rig.sends[0].timeout, 4'000'000);
    rig.at(4'000'000);
    rig.outcome("a", 0, 1, AttemptOutcome::timed_out);
    EXPECT_EQ(rig.refused("a") + rig.failed("a"), 1);
    rig.run_until(8'000'000);
    EXPECT_EQ(rig.refused("a") + rig.failed("a"), 1);
    EXPECT_EQ(rig.sends.size(), 1u);
}

TEST(OneAnswer, HeldRequestEndsBeforeItsDeadline) {
    Rig rig(plain());
    rig.list({});  // nowhere to go
    rig.demand("a", "long");
    rig.run_until(20'000'000);
    EXPECT_EQ(rig.refused("a"), 1);
    EXPECT_LT(rig.ended_at("a"), 20'000'000);
}

TEST(OneAnswer, GoneBesideAnOutcomeInOneBatchIsQuiet) {
    Rig rig(plain());
    rig.list({engine(1)});
    rig.demand("a", "short");
    rig.at(4'000'000);
    rig.outcome("a", 0, 1, AttemptOutcome::timed_out);
    const auto before = rig.sends.size();
    rig.feed(ClientDisconnected{"a"});
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.sends.size(), before);
    EXPECT_EQ(rig.refused("a") + rig.failed("a"), 1);
}

TEST(OneAnswer, FinishedOutcomeNeedsNoMore) {
    Rig rig(plain());
    rig.list({engine(1)});
    rig.demand("a", "short");
    rig.outcome("a", 0, 1, AttemptOutcome::succeeded, true);
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.refused("a") + rig.failed("a"), 0);
}

// ---- rule 2: no effect twice
// --------------------------------------------------------------------------------

class OnceAfter : public ::testing::TestWithParam<std::pair<AttemptOutcome, bool>> {};

TEST_P(OnceAfter, IsSentAgainOnlyIfItNeverRan) {
    const auto [outcome, again] = GetParam();
    Rig rig(plain());
    rig.list({engine(1), engine(2)});
    rig.demand("a", "unsafe");
    ASSERT_EQ(rig.sends.size(), 1u);
    rig.at(200'000);
    rig.outcome("a", 0, rig.sends[0].engine, outcome);
    rig.run_until(19'000'000, false);
    EXPECT_EQ(rig.sends.size() > 1, again);
    if (!again) {
        EXPECT_EQ(rig.refused("a"), 0);  // a refusal would say that trying again is harmless
        EXPECT_EQ(rig.failed("a"), 1);
    }
}
INSTANTIATE_TEST_SUITE_P(Outcomes, OnceAfter,
                         ::testing::Values(std::pair(AttemptOutcome::failed, false),
                                           std::pair(AttemptOutcome::rejected, true),
                                           std::pair(AttemptOutcome::timed_out, false),
                                           std::pair(AttemptOutcome::connection_refused, true),
                                           std::pair(AttemptOutcome::connection_reset, false),
                                           std::pair(AttemptOutcome::cancelled, false),
                                           std::pair(AttemptOutcome::not_sent, true)));

TEST(Keyed, SentAgainInsideItsWindowAndNotAfter) {
    for (const bool inside : {true, false}) {
        Rig rig(plain());
        rig.list({engine(1), engine(2)});
        rig.demand("a", "keyed");
        rig.at(inside ? 4'900'000 : 5'000'000);  // the window is 5 s
        rig.outcome("a", 0, rig.sends[0].engine, AttemptOutcome::failed);
        EXPECT_EQ(rig.sends.size(), inside ? 2u : 1u);
        EXPECT_EQ(rig.refused("a"), inside ? 0 : 1);  // may be refused: every engine drops the repeat
    }
}

TEST(Keyed, StaysWithinItsCellAndFailsOutsideIt) {
    PolicySettings s = plain();
    s.classes[2].key_scope = KeyScope::cell;
    Rig rig(s);
    rig.list({engine(1, 0), engine(2, 1)});
    rig.demand("a", "keyed");
    const EngineId first = rig.sends[0].engine;
    rig.outcome("a", 0, first, AttemptOutcome::connection_reset);
    rig.run_until(4'000'000, false);
    for (const DispatchAttempt& send : rig.sends)
        EXPECT_EQ(send.engine, first);
    rig.list({engine(first == 1 ? 2 : 1, first == 1 ? 1 : 0)});
    rig.outcome("a", static_cast<int>(rig.sends.size()) - 1, first, AttemptOutcome::connection_reset);
    rig.run_until(24'900'000, false);
    EXPECT_EQ(rig.refused("a"), 0);
    EXPECT_EQ(rig.failed("a"), 1);
}

TEST(NoOverlap, NothingIsSentWhileAnAttemptIsOutAllowedOrNot) {
    for (const bool copies : {false, true})
        for (const char* type : {"long", "keyed", "unsafe"}) {
            PolicySettings s = plain();
            s.can_hedge = copies;
            Rig rig(s);
            rig.list({engine(1), engine(2)});
            rig.demand("a", type);
            rig.run_until(15'000'000);
            EXPECT_EQ(rig.sends.size(), 1u);
        }
}

// ---- rule 3: drains
// -----------------------------------------------------------------------------------------

TEST(Drains, NothingGoesToAFadingOffOrMissingEngine) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        Rig rig(plain());
        rig.list({engine(1)});
        Endpoint changed = engine(1);
        changed.state = state;
        rig.feed(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
        rig.demand("a", "short");
        EXPECT_TRUE(rig.sends.empty());
    }
    Rig rig(plain());
    rig.list({engine(1), engine(2)});
    rig.list({engine(2)});
    rig.demands(20, "a", "short");
    for (const DispatchAttempt& send : rig.sends)
        EXPECT_EQ(send.engine, 2u);
}

TEST(Drains, AHeldRequestDoesNotFollowAnEngineThatDrained) {
    Rig rig(plain());
    rig.list({engine(1)});
    rig.demand("a", "long");
    rig.outcome("a", 0, 1, AttemptOutcome::rejected);  // held for a moment before its next try
    const auto before = rig.sends.size();
    Endpoint changed = engine(1);
    changed.state = EndpointState::draining;
    rig.feed(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
    rig.run_until(1'000'000);
    EXPECT_EQ(rig.sends.size(), before);
}

TEST(Drains, AnAttemptOutOnARemovedEngineStillEndsWell) {
    Rig rig(plain());
    rig.list({engine(1)});
    rig.demand("a", "long");
    rig.list({engine(2)});
    rig.outcome("a", 0, 1, AttemptOutcome::connection_reset);
    ASSERT_EQ(rig.sends.size(), 2u);
    EXPECT_EQ(rig.sends[1].engine, 2u);
}

// ---- rule 4: cold engines
// -----------------------------------------------------------------------------------

// Core-seconds sent to a cold engine at one instant by one front of so many, each answered at once.
struct ColdRig : Rig {
    explicit ColdRig(int siblings) : Rig(with(siblings)) {
        at(100'000'000);
        Endpoint cold = engine(1);
        cold.started_at = 99'000'000;
        list({cold});
    }
    static PolicySettings with(int siblings) {
        PolicySettings s = plain();
        s.instance_count = siblings;
        return s;
    }
    double press(const std::string& name) {
        const auto before = sends.size();
        for (int i = 0; i < 400; ++i) {
            demand(nth(name, i), "short");
            if (!sends.empty() && answered < sends.size())
                outcome(sends[answered].id, 0, 1, AttemptOutcome::succeeded, true), ++answered;
        }
        return static_cast<double>(sends.size() - before) * 0.1;
    }
    std::size_t answered = 0;
};

TEST(Cold, EachFrontKeepsToItsPartOfTheBudgetOfAWindow) {
    // 3 x 0.3 x 0.85 x 8 cores x 2 s = 12.24 core-seconds for all fronts together.
    for (const int siblings : {1, 3}) {
        const double sent = ColdRig(siblings).press("a");
        EXPECT_GT(sent, 3.0 / siblings);
        EXPECT_LE(sent, 12.24 / siblings);
    }
}

// A front that has just started and knows nothing of a class's work: what takes as long as its aim is to be
// expected, or one front alone sends a cold engine more than it can bear.
TEST(Cold, AClassWhoseWorkNobodyKnowsCountsAsLongAsItsAim) {
    ColdRig rig(1);
    for (int i = 0; i < 100; ++i)
        rig.feed(unestimated(nth("u", i), "long", 20'000'000));
    const double aim_core_seconds = 3.0 * 2;
    EXPECT_GE(rig.sends.size(), 1u);
    EXPECT_LE(static_cast<double>(rig.sends.size()) * aim_core_seconds, 12.24);
}

// The answer of a query at engine 1 that tells its work.
AttemptCompleted told_work(const std::string& id, Micros taken, double work_ms) {
    AttemptCompleted c;
    c.id = id, c.engine = 1, c.outcome = AttemptOutcome::succeeded, c.request_finished = true;
    c.duration = taken, c.work_ms = work_ms;
    return c;
}

// A cold engine takes the place of engine 1.
void list_a_cold_one_instead(Rig& rig, Micros came_up) {
    Endpoint cold = engine(2);
    cold.started_at = came_up;
    Endpoint gone = engine(1);
    gone.state = EndpointState::removed;
    rig.feed(EndpointUpdate{EndpointUpdateKind::incremental, {gone, cold}});
}

// It is asked for far more than it may get: `rig.sends` is what it got.
void press_a_cold_one_instead(Rig& rig, Micros came_up) {
    list_a_cold_one_instead(rig, came_up);
    rig.sends.clear();
    for (int i = 0; i < 100; ++i)
        rig.feed(unestimated(nth("v", i), "long", 20'000'000));
}

// The first answers tell more of a class's work than what it was taken for before.
TEST(Cold, TheFirstAnswersCountForMoreThanTheGuess) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.list({engine(1)});
    for (int i = 0; i < 6; ++i) {
        rig.feed(unestimated(nth("u", i), "long", 20'000'000));
        rig.feed(told_work(nth("u", i), 4'000'000, 8'000));
    }
    rig.at(1'000'000);
    press_a_cold_one_instead(rig, 900'000);
    EXPECT_LE(static_cast<double>(rig.sends.size()) * 8.0, 12.24);
}

// The first answers are those of the shortest queries.
TEST(Cold, EarlyAnswersDontMakeAClassShort) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.list({engine(1)});
    rig.at(1'000'000);
    for (int i = 0; i < 30; ++i) {
        rig.feed(unestimated(nth("u", i), "long", 20'000'000));
        rig.feed(told_work(nth("u", i), 100'000, 200));
    }
    rig.at(2'000'000);
    press_a_cold_one_instead(rig, 1'900'000);
    EXPECT_GE(rig.sends.size(), 1u);
    EXPECT_LE(static_cast<double>(rig.sends.size()) * 6.0, 12.24);
}

// A front that has just started met a few short ones first: they don't stand for the class.
TEST(Cold, TheFirstEstimatesDontMakeAClassShort) {
    ColdRig rig(1);
    const auto ask = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        rig.feed(d);
        if (!rig.sends.empty() && rig.answered < rig.sends.size())
            rig.outcome(rig.sends[rig.answered].id, 0, 1, AttemptOutcome::succeeded, true), ++rig.answered;
    };
    for (int i = 0; i < 3; ++i)
        ask(nth("a", i), 100'000);
    for (int i = 0; i < 100; ++i)
        ask(nth("b", i), 1'000'000);
    EXPECT_GE(rig.sends_of('b'), 1);
    EXPECT_LE(rig.sends_of('b') * 1.0 + rig.sends_of('a') * 0.1, 12.24);
}

// Once a class is well known, its short queries don't each take the place of a usual one, and what was sent
// still fits.
TEST(Cold, AKnownClassOfShortAndLongQueriesUsesTheBudget) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.list({engine(1)});
    const auto ask = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        const auto before = rig.sends.size();
        rig.feed(d);
        if (rig.sends.size() == before)
            return;
        AttemptCompleted answer = told_work(rig.sends.back().id, cost, static_cast<double>(cost) / 1000);
        answer.engine = rig.sends.back().engine;
        rig.feed(answer);
    };
    for (int i = 0; i < 30; ++i)
        ask(nth("a", i), 40'000), ask(nth("A", i), 360'000);
    rig.at(2'000'000);
    list_a_cold_one_instead(rig, 1'900'000);
    for (int i = 0; i < 30; ++i)
        ask(nth("b", i), 40'000), ask(nth("c", i), 360'000);
    const double sent = rig.sends_of('b') * 0.04 + rig.sends_of('c') * 0.36;
    EXPECT_GE(sent, 0.9 * 0.6 * 12.24);
    EXPECT_LE(sent, 12.24);
}

TEST(Cold, TheBudgetComesBackWithTheWindow) {
    ColdRig rig(1);
    const double first = rig.press("a");
    rig.at(101'900'000);
    EXPECT_EQ(rig.press("b"), 0);
    rig.run_until(102'100'000);
    EXPECT_GT(rig.press("c"), first / 2);
}

// ---- rule 5: order by key
// -----------------------------------------------------------------------------------

TEST(Order, OneAtATimeInTurnAndAFailureRestsTheKey) {
    PolicySettings s = plain();
    s.classes[1].ordered_by_key = true;
    s.key_order_gap = 500'000;
    s.max_attempts = 1;
    Rig rig(s);
    rig.list({engine(1), engine(2)});
    rig.demand("a", "long", "k");
    rig.demand("b", "long", "k");
    rig.demand("c", "long", "k");
    rig.demand("other", "long", "k2");
    rig.demand("free", "long");
    ASSERT_EQ(rig.sent_ids(), (std::vector<std::string>{"a", "other", "free"}));
    rig.at(100'000);
    rig.outcome("a", 0, rig.sends[0].engine, AttemptOutcome::succeeded, true);
    rig.run_until(150'000);
    ASSERT_EQ(rig.sends.back().id, "b");
    rig.outcome("b", 0, rig.sends.back().engine, AttemptOutcome::connection_reset);
    EXPECT_EQ(rig.refused("b"), 1);
    rig.run_until(640'000);
    EXPECT_EQ(rig.sends.back().id, "b");  // still resting
    rig.run_until(720'000);
    EXPECT_EQ(rig.sends.back().id, "c");
}

// ---- rule 6: placement
// --------------------------------------------------------------------------------------

TEST(Placement, KindAndZoneHoldOnEveryAttempt) {
    PolicySettings s = plain();
    s.kinds.push_back({"big", 16, 32768});
    s.classes[0].allowed_kinds = {{"big"}};
    s.classes[1].allowed_zones = {{"z2"}};
    Rig rig(s);
    Endpoint big = engine(2);
    big.kind = "big";
    Endpoint far = engine(3);
    far.zone = "z2";
    rig.list({engine(1), big, far});
    for (int i = 0; i < 10; ++i) {
        rig.demand(nth("s", i), "short");
        rig.demand(nth("l", i), "long");
    }
    const auto first = rig.sends.size();
    for (std::size_t i = 0; i < first; ++i)
        rig.outcome(rig.sends[i].id, 0, rig.sends[i].engine, AttemptOutcome::connection_refused);
    rig.run_until(1'500'000, false);
    ASSERT_GT(rig.sends.size(), first);
    for (const DispatchAttempt& send : rig.sends)
        EXPECT_EQ(send.engine, send.id[0] == 's' ? 2u : 3u);
    rig.list({engine(1)});
    const auto before = rig.sends.size();
    rig.demand("s-late", "short");
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.sends.size(), before);
    EXPECT_EQ(rig.refused("s-late"), 1);
}

// ---- rule 7: attempts beyond the first
// ----------------------------------------------------------------------

TEST(Budget, FurtherAttemptsKeepToFreePlusShare) {
    PolicySettings s = plain();
    s.retry_budget_base = 2;
    s.retry_budget_ratio = 0.2;
    s.retry_budget_window = 5'000'000;
    Rig rig(s);
    rig.list({engine(1), engine(2)});
    rig.demands(10, "a", "short");
    ASSERT_EQ(rig.sends.size(), 10u);
    for (int i = 0; i < 10; ++i)
        rig.outcome(rig.sends[i].id, 0, rig.sends[i].engine, AttemptOutcome::failed);
    rig.run_until(700'000, false);
    EXPECT_EQ(rig.sends.size() - 10, 4u);  // 2 + 0.2 x 10, and no more
}

TEST(Budget, WithoutTheSettingsOnlyTheCapHolds) {
    Rig rig(plain());
    rig.list({engine(1), engine(2)});
    rig.demand("a", "short");
    for (int i = 0; i < 8 && rig.refused("a") == 0; ++i) {
        if (rig.sends.size() <= static_cast<std::size_t>(i))
            break;
        rig.outcome("a", i, rig.sends[i].engine, AttemptOutcome::failed);
    }
    rig.run_until(1'000'000, false);
    EXPECT_LE(rig.sends.size(), 3u);  // attempts_cap
}
