// The seven rules, each on both sides of its edge, against one front fed by hand.
#include <gtest/gtest.h>

#include "policy/rig.hpp"

using namespace gatetiller;
using namespace gatetiller::testing;

// ---- rule 1: one final answer, in time, nothing after
// -------------------------------------------------------

TEST(OneAnswer, TimeOutAtTheDeadlineIsAnsweredOnce) {
    Rig rig(plain());
    rig.update_endpoints({engine(1)});
    rig.arrive("a", "short");
    ASSERT_EQ(rig.dispatches.size(), 1u);
    EXPECT_LE(rig.dispatches[0].timeout, 4'000'000);
    rig.at(4'000'000);
    rig.complete("a", 0, 1, AttemptOutcome::timed_out);
    EXPECT_EQ(rig.shed_count("a") + rig.failed_count("a"), 1);
    rig.run_until(8'000'000);
    EXPECT_EQ(rig.shed_count("a") + rig.failed_count("a"), 1);
    EXPECT_EQ(rig.dispatches.size(), 1u);
}

TEST(OneAnswer, HeldRequestEndsBeforeItsDeadline) {
    Rig rig(plain());
    rig.update_endpoints({});  // nowhere to go
    rig.arrive("a", "long");
    rig.run_until(20'000'000);
    EXPECT_EQ(rig.shed_count("a"), 1);
    EXPECT_LT(rig.ended_at("a"), 20'000'000);
}

TEST(OneAnswer, GoneBesideAnOutcomeInOneBatchIsQuiet) {
    Rig rig(plain());
    rig.update_endpoints({engine(1)});
    rig.arrive("a", "short");
    rig.at(4'000'000);
    rig.complete("a", 0, 1, AttemptOutcome::timed_out);
    const auto before = rig.dispatches.size();
    rig.handle(ClientDisconnected{"a"});
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.dispatches.size(), before);
    EXPECT_EQ(rig.shed_count("a") + rig.failed_count("a"), 1);
}

TEST(OneAnswer, FinishedOutcomeNeedsNoMore) {
    Rig rig(plain());
    rig.update_endpoints({engine(1)});
    rig.arrive("a", "short");
    rig.complete("a", 0, 1, AttemptOutcome::succeeded, true);
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.shed_count("a") + rig.failed_count("a"), 0);
}

// ---- rule 2: no effect twice
// --------------------------------------------------------------------------------

class OnceAfter : public ::testing::TestWithParam<std::pair<AttemptOutcome, bool>> {};

TEST_P(OnceAfter, IsSentAgainOnlyIfItNeverRan) {
    const auto [outcome, again] = GetParam();
    Rig rig(plain());
    rig.update_endpoints({engine(1), engine(2)});
    rig.arrive("a", "unsafe");
    ASSERT_EQ(rig.dispatches.size(), 1u);
    rig.at(200'000);
    rig.complete("a", 0, rig.dispatches[0].engine, outcome);
    rig.run_until(19'000'000, false);
    EXPECT_EQ(rig.dispatches.size() > 1, again);
    if (!again) {
        EXPECT_EQ(rig.shed_count("a"), 0);  // a refusal would say that trying again is harmless
        EXPECT_EQ(rig.failed_count("a"), 1);
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
        rig.update_endpoints({engine(1), engine(2)});
        rig.arrive("a", "keyed");
        rig.at(inside ? 4'900'000 : 5'000'000);  // the window is 5 s
        rig.complete("a", 0, rig.dispatches[0].engine, AttemptOutcome::failed);
        EXPECT_EQ(rig.dispatches.size(), inside ? 2u : 1u);
        EXPECT_EQ(rig.shed_count("a"), inside ? 0 : 1);  // may be refused: every engine drops the repeat
    }
}

TEST(Keyed, StaysWithinItsCellAndFailsOutsideIt) {
    PolicySettings s = plain();
    s.classes[2].key_scope = KeyScope::cell;
    Rig rig(s);
    rig.update_endpoints({engine(1, 0), engine(2, 1)});
    rig.arrive("a", "keyed");
    const EngineId first = rig.dispatches[0].engine;
    rig.complete("a", 0, first, AttemptOutcome::connection_reset);
    rig.run_until(4'000'000, false);
    for (const DispatchAttempt& send : rig.dispatches)
        EXPECT_EQ(send.engine, first);
    rig.update_endpoints({engine(first == 1 ? 2 : 1, first == 1 ? 1 : 0)});
    rig.complete("a", static_cast<int>(rig.dispatches.size()) - 1, first, AttemptOutcome::connection_reset);
    rig.run_until(24'900'000, false);
    EXPECT_EQ(rig.shed_count("a"), 0);
    EXPECT_EQ(rig.failed_count("a"), 1);
}

TEST(NoOverlap, NothingIsSentWhileAnAttemptIsOpenAllowedOrNot) {
    for (const bool copies : {false, true})
        for (const char* type : {"long", "keyed", "unsafe"}) {
            PolicySettings s = plain();
            s.can_hedge = copies;
            Rig rig(s);
            rig.update_endpoints({engine(1), engine(2)});
            rig.arrive("a", type);
            rig.run_until(15'000'000);
            EXPECT_EQ(rig.dispatches.size(), 1u);
        }
}

// ---- rule 3: drains
// -----------------------------------------------------------------------------------------

TEST(Drains, NothingGoesToAFadingOffOrMissingEngine) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        Rig rig(plain());
        rig.update_endpoints({engine(1)});
        Endpoint changed = engine(1);
        changed.state = state;
        rig.handle(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
        rig.arrive("a", "short");
        EXPECT_TRUE(rig.dispatches.empty());
    }
    Rig rig(plain());
    rig.update_endpoints({engine(1), engine(2)});
    rig.update_endpoints({engine(2)});
    rig.arrive_many(20, "a", "short");
    for (const DispatchAttempt& send : rig.dispatches)
        EXPECT_EQ(send.engine, 2u);
}

TEST(Drains, AHeldRequestDoesNotFollowAnEngineThatDrained) {
    Rig rig(plain());
    rig.update_endpoints({engine(1)});
    rig.arrive("a", "long");
    rig.complete("a", 0, 1, AttemptOutcome::rejected);  // held for a moment before its next try
    const auto before = rig.dispatches.size();
    Endpoint changed = engine(1);
    changed.state = EndpointState::draining;
    rig.handle(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
    rig.run_until(1'000'000);
    EXPECT_EQ(rig.dispatches.size(), before);
}

TEST(Drains, AnAttemptOutOnARemovedEngineStillEndsWell) {
    Rig rig(plain());
    rig.update_endpoints({engine(1)});
    rig.arrive("a", "long");
    rig.update_endpoints({engine(2)});
    rig.complete("a", 0, 1, AttemptOutcome::connection_reset);
    ASSERT_EQ(rig.dispatches.size(), 2u);
    EXPECT_EQ(rig.dispatches[1].engine, 2u);
}

// ---- rule 4: cold engines
// -----------------------------------------------------------------------------------

// Core-seconds sent to a cold engine at one instant by one front of so many, each answered at once.
struct ColdRig : Rig {
    explicit ColdRig(int siblings) : Rig(with(siblings)) {
        at(100'000'000);
        Endpoint cold = engine(1);
        cold.started_at = 99'000'000;
        update_endpoints({cold});
    }
    static PolicySettings with(int siblings) {
        PolicySettings s = plain();
        s.instance_count = siblings;
        return s;
    }
    double press(const std::string& name) {
        const auto before = dispatches.size();
        for (int i = 0; i < 400; ++i) {
            arrive(nth(name, i), "short");
            if (!dispatches.empty() && answered < dispatches.size())
                complete(dispatches[answered].id, 0, 1, AttemptOutcome::succeeded, true), ++answered;
        }
        return static_cast<double>(dispatches.size() - before) * 0.1;
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
TEST(Cold, AClassWhoseWorkNobodyKnowsCountsAsLongAsItsObjective) {
    ColdRig rig(1);
    for (int i = 0; i < 100; ++i)
        rig.handle(unestimated(nth("u", i), "long", 20'000'000));
    const double aim_core_seconds = 3.0 * 2;
    EXPECT_GE(rig.dispatches.size(), 1u);
    EXPECT_LE(static_cast<double>(rig.dispatches.size()) * aim_core_seconds, 12.24);
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
    rig.handle(EndpointUpdate{EndpointUpdateKind::incremental, {gone, cold}});
}

// It is asked for far more than it may get: `rig.dispatches` is what it got.
void press_a_cold_one_instead(Rig& rig, Micros came_up) {
    list_a_cold_one_instead(rig, came_up);
    rig.dispatches.clear();
    for (int i = 0; i < 100; ++i)
        rig.handle(unestimated(nth("v", i), "long", 20'000'000));
}

// The first answers tell more of a class's work than what it was taken for before.
TEST(Cold, TheFirstAnswersCountForMoreThanTheGuess) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.update_endpoints({engine(1)});
    for (int i = 0; i < 6; ++i) {
        rig.handle(unestimated(nth("u", i), "long", 20'000'000));
        rig.handle(told_work(nth("u", i), 4'000'000, 8'000));
    }
    rig.at(1'000'000);
    press_a_cold_one_instead(rig, 900'000);
    EXPECT_LE(static_cast<double>(rig.dispatches.size()) * 8.0, 12.24);
}

// The first answers are those of the shortest queries.
TEST(Cold, EarlyAnswersDontMakeAClassShort) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.update_endpoints({engine(1)});
    rig.at(1'000'000);
    for (int i = 0; i < 30; ++i) {
        rig.handle(unestimated(nth("u", i), "long", 20'000'000));
        rig.handle(told_work(nth("u", i), 100'000, 200));
    }
    rig.at(2'000'000);
    press_a_cold_one_instead(rig, 1'900'000);
    EXPECT_GE(rig.dispatches.size(), 1u);
    EXPECT_LE(static_cast<double>(rig.dispatches.size()) * 6.0, 12.24);
}

// A front that has just started met a few short ones first: they don't stand for the class.
TEST(Cold, TheFirstEstimatesDontMakeAClassShort) {
    ColdRig rig(1);
    const auto ask = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        rig.handle(d);
        if (!rig.dispatches.empty() && rig.answered < rig.dispatches.size())
            rig.complete(rig.dispatches[rig.answered].id, 0, 1, AttemptOutcome::succeeded, true),
                ++rig.answered;
    };
    for (int i = 0; i < 3; ++i)
        ask(nth("a", i), 100'000);
    for (int i = 0; i < 100; ++i)
        ask(nth("b", i), 1'000'000);
    EXPECT_GE(rig.dispatches_of('b'), 1);
    EXPECT_LE(rig.dispatches_of('b') * 1.0 + rig.dispatches_of('a') * 0.1, 12.24);
}

// Once a class is well known, its short queries don't each take the place of a usual one, and what was sent
// still fits.
TEST(Cold, AKnownClassOfShortAndLongQueriesUsesTheBudget) {
    PolicySettings s = plain();
    s.cost_in_responses = true;
    Rig rig(s);
    rig.update_endpoints({engine(1)});
    const auto ask = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        const auto before = rig.dispatches.size();
        rig.handle(d);
        if (rig.dispatches.size() == before)
            return;
        AttemptCompleted answer = told_work(rig.dispatches.back().id, cost, static_cast<double>(cost) / 1000);
        answer.engine = rig.dispatches.back().engine;
        rig.handle(answer);
    };
    for (int i = 0; i < 30; ++i)
        ask(nth("a", i), 40'000), ask(nth("A", i), 360'000);
    rig.at(2'000'000);
    list_a_cold_one_instead(rig, 1'900'000);
    for (int i = 0; i < 30; ++i)
        ask(nth("b", i), 40'000), ask(nth("c", i), 360'000);
    const double sent = rig.dispatches_of('b') * 0.04 + rig.dispatches_of('c') * 0.36;
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

TEST(Order, OneAtATimeInTurnAndAFailurePausesTheKey) {
    PolicySettings s = plain();
    s.classes[1].ordered_by_key = true;
    s.key_order_gap = 500'000;
    s.max_attempts = 1;
    Rig rig(s);
    rig.update_endpoints({engine(1), engine(2)});
    rig.arrive("a", "long", "k");
    rig.arrive("b", "long", "k");
    rig.arrive("c", "long", "k");
    rig.arrive("other", "long", "k2");
    rig.arrive("free", "long");
    ASSERT_EQ(rig.dispatched_ids(), (std::vector<std::string>{"a", "other", "free"}));
    rig.at(100'000);
    rig.complete("a", 0, rig.dispatches[0].engine, AttemptOutcome::succeeded, true);
    rig.run_until(150'000);
    ASSERT_EQ(rig.dispatches.back().id, "b");
    rig.complete("b", 0, rig.dispatches.back().engine, AttemptOutcome::connection_reset);
    EXPECT_EQ(rig.shed_count("b"), 1);
    rig.run_until(640'000);
    EXPECT_EQ(rig.dispatches.back().id, "b");  // still resting
    rig.run_until(720'000);
    EXPECT_EQ(rig.dispatches.back().id, "c");
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
    rig.update_endpoints({engine(1), big, far});
    for (int i = 0; i < 10; ++i) {
        rig.arrive(nth("s", i), "short");
        rig.arrive(nth("l", i), "long");
    }
    const auto first = rig.dispatches.size();
    for (std::size_t i = 0; i < first; ++i)
        rig.complete(rig.dispatches[i].id, 0, rig.dispatches[i].engine, AttemptOutcome::connection_refused);
    rig.run_until(1'500'000, false);
    ASSERT_GT(rig.dispatches.size(), first);
    for (const DispatchAttempt& send : rig.dispatches)
        EXPECT_EQ(send.engine, send.id[0] == 's' ? 2u : 3u);
    rig.update_endpoints({engine(1)});
    const auto before = rig.dispatches.size();
    rig.arrive("s-late", "short");
    rig.run_until(9'000'000);
    EXPECT_EQ(rig.dispatches.size(), before);
    EXPECT_EQ(rig.shed_count("s-late"), 1);
}

// ---- rule 7: attempts beyond the first
// ----------------------------------------------------------------------

TEST(Budget, FurtherAttemptsKeepToFreePlusShare) {
    PolicySettings s = plain();
    s.retry_budget_base = 2;
    s.retry_budget_ratio = 0.2;
    s.retry_budget_window = 5'000'000;
    Rig rig(s);
    rig.update_endpoints({engine(1), engine(2)});
    rig.arrive_many(10, "a", "short");
    ASSERT_EQ(rig.dispatches.size(), 10u);
    for (int i = 0; i < 10; ++i)
        rig.complete(rig.dispatches[i].id, 0, rig.dispatches[i].engine, AttemptOutcome::failed);
    rig.run_until(700'000, false);
    EXPECT_EQ(rig.dispatches.size() - 10, 4u);  // 2 + 0.2 x 10, and no more
}

TEST(Budget, WithoutTheSettingsOnlyTheCapHolds) {
    Rig rig(plain());
    rig.update_endpoints({engine(1), engine(2)});
    rig.arrive("a", "short");
    for (int i = 0; i < 8 && rig.shed_count("a") == 0; ++i) {
        if (rig.dispatches.size() <= static_cast<std::size_t>(i))
            break;
        rig.complete("a", i, rig.dispatches[i].engine, AttemptOutcome::failed);
    }
    rig.run_until(1'000'000, false);
    EXPECT_LE(rig.dispatches.size(), 3u);  // attempts_cap
}
