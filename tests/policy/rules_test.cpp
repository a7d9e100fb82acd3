// The seven rules, each on both sides of its boundary, with one front.
#include <gtest/gtest.h>

#include "policy/rig.hpp"

using namespace gatetiller;
using namespace gatetiller::testing;

// ---- Rule 1: one final response in time, nothing after it

TEST(FinalResponse, SendsOneResponseAfterTimeoutAtDeadline) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1)});
    harness.arrive("a", "short");
    ASSERT_EQ(harness.dispatches.size(), 1u);
    EXPECT_LE(harness.dispatches[0].timeout, 4'000'000);
    harness.set_time(4'000'000);
    harness.complete("a", 0, 1, AttemptOutcome::timed_out);
    EXPECT_EQ(harness.shed_count("a") + harness.failed_count("a"), 1);
    harness.run_until(8'000'000);
    EXPECT_EQ(harness.shed_count("a") + harness.failed_count("a"), 1);
    EXPECT_EQ(harness.dispatches.size(), 1u);
}

TEST(FinalResponse, EndsQueuedRequestBeforeItsDeadline) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({});  // no endpoints
    harness.arrive("a", "long");
    harness.run_until(20'000'000);
    EXPECT_EQ(harness.shed_count("a"), 1);
    EXPECT_LT(harness.ended_at("a"), 20'000'000);
}

TEST(FinalResponse, IgnoresDisconnectAfterFinalResponse) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1)});
    harness.arrive("a", "short");
    harness.set_time(4'000'000);
    harness.complete("a", 0, 1, AttemptOutcome::timed_out);
    const auto before = harness.dispatches.size();
    harness.handle(ClientDisconnected{"a"});
    harness.run_until(9'000'000);
    EXPECT_EQ(harness.dispatches.size(), before);
    EXPECT_EQ(harness.shed_count("a") + harness.failed_count("a"), 1);
}

TEST(FinalResponse, SendsNothingAfterFinishedAttempt) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1)});
    harness.arrive("a", "short");
    harness.complete("a", 0, 1, AttemptOutcome::succeeded, true);
    harness.run_until(9'000'000);
    EXPECT_EQ(harness.shed_count("a") + harness.failed_count("a"), 0);
}

// ---- Rule 2: non-idempotent requests execute at most once

class NonIdempotentRetry : public ::testing::TestWithParam<std::pair<AttemptOutcome, bool>> {};

TEST_P(NonIdempotentRetry, RetriesOnlyIfNotExecuted) {
    const auto [outcome, retried] = GetParam();
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
    harness.arrive("a", "unsafe");
    ASSERT_EQ(harness.dispatches.size(), 1u);
    harness.set_time(200'000);
    harness.complete("a", 0, harness.dispatches[0].engine, outcome);
    harness.run_until(19'000'000, false);
    EXPECT_EQ(harness.dispatches.size() > 1, retried);
    if (!retried) {
        EXPECT_EQ(harness.shed_count("a"), 0);  // a rejection would tell the client that a retry is safe
        EXPECT_EQ(harness.failed_count("a"), 1);
    }
}
INSTANTIATE_TEST_SUITE_P(Outcomes, NonIdempotentRetry,
                         ::testing::Values(std::pair(AttemptOutcome::failed, false),
                                           std::pair(AttemptOutcome::rejected, true),
                                           std::pair(AttemptOutcome::timed_out, false),
                                           std::pair(AttemptOutcome::connection_refused, true),
                                           std::pair(AttemptOutcome::connection_reset, false),
                                           std::pair(AttemptOutcome::cancelled, false),
                                           std::pair(AttemptOutcome::not_sent, true)));

TEST(KeyedRetry, RetriesOnlyWithinKeyWindow) {
    for (const bool inside : {true, false}) {
        PolicyHarness harness(default_settings());
        harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
        harness.arrive("a", "keyed");
        harness.set_time(inside ? 4'900'000 : 5'000'000);  // the window is 5 s
        harness.complete("a", 0, harness.dispatches[0].engine, AttemptOutcome::failed);
        EXPECT_EQ(harness.dispatches.size(), inside ? 2u : 1u);
        EXPECT_EQ(harness.shed_count("a"), inside ? 0 : 1);  // may be shed: every engine drops the repeat
    }
}

TEST(KeyedRetry, RetriesOnlyWithinCellAndFailsOtherwise) {
    PolicySettings s = default_settings();
    s.classes[2].key_scope = KeyScope::cell;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1, 0), make_endpoint(2, 1)});
    harness.arrive("a", "keyed");
    const EngineId first = harness.dispatches[0].engine;
    harness.complete("a", 0, first, AttemptOutcome::connection_reset);
    harness.run_until(4'000'000, false);
    for (const DispatchAttempt& dispatch : harness.dispatches)
        EXPECT_EQ(dispatch.engine, first);
    harness.update_endpoints({make_endpoint(first == 1 ? 2 : 1, first == 1 ? 1 : 0)});
    harness.complete("a", static_cast<int>(harness.dispatches.size()) - 1, first,
                     AttemptOutcome::connection_reset);
    harness.run_until(24'900'000, false);
    EXPECT_EQ(harness.shed_count("a"), 0);
    EXPECT_EQ(harness.failed_count("a"), 1);
}

TEST(ConcurrentAttempts, SendsNoSecondAttemptWhileOneIsOpen) {
    for (const bool hedging : {false, true})
        for (const char* class_name : {"long", "keyed", "unsafe"}) {
            PolicySettings s = default_settings();
            s.can_hedge = hedging;
            PolicyHarness harness(s);
            harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
            harness.arrive("a", class_name);
            harness.run_until(15'000'000);
            EXPECT_EQ(harness.dispatches.size(), 1u);
        }
}

// ---- Rule 3: draining

TEST(Draining, SendsNothingToDrainingRemovedOrUnlistedEngine) {
    for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
        PolicyHarness harness(default_settings());
        harness.update_endpoints({make_endpoint(1)});
        Endpoint changed = make_endpoint(1);
        changed.state = state;
        harness.handle(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
        harness.arrive("a", "short");
        EXPECT_TRUE(harness.dispatches.empty());
    }
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
    harness.update_endpoints({make_endpoint(2)});
    harness.arrive_many(20, "a", "short");
    for (const DispatchAttempt& dispatch : harness.dispatches)
        EXPECT_EQ(dispatch.engine, 2u);
}

TEST(Draining, DoesNotRetryAtDrainingEngine) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1)});
    harness.arrive("a", "long");
    harness.complete("a", 0, 1, AttemptOutcome::rejected);  // waits before its next attempt
    const auto before = harness.dispatches.size();
    Endpoint changed = make_endpoint(1);
    changed.state = EndpointState::draining;
    harness.handle(EndpointUpdate{EndpointUpdateKind::incremental, {changed}});
    harness.run_until(1'000'000);
    EXPECT_EQ(harness.dispatches.size(), before);
}

TEST(Draining, RetriesElsewhereAfterResetAtUnlistedEngine) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1)});
    harness.arrive("a", "long");
    harness.update_endpoints({make_endpoint(2)});
    harness.complete("a", 0, 1, AttemptOutcome::connection_reset);
    ASSERT_EQ(harness.dispatches.size(), 2u);
    EXPECT_EQ(harness.dispatches[1].engine, 2u);
}

// ---- Rule 4: slow start

// One of `fronts` fronts with an engine in slow start. offer_load() returns the core-seconds dispatched at
// one instant with every query completed immediately.
struct SlowStartHarness : PolicyHarness {
    explicit SlowStartHarness(int fronts) : PolicyHarness(with(fronts)) {
        set_time(100'000'000);
        Endpoint starting_endpoint = make_endpoint(1);
        starting_endpoint.started_at = 99'000'000;
        update_endpoints({starting_endpoint});
    }
    static PolicySettings with(int fronts) {
        PolicySettings s = default_settings();
        s.instance_count = fronts;
        return s;
    }
    double offer_load(const std::string& name) {
        const auto before = dispatches.size();
        for (int i = 0; i < 400; ++i) {
            arrive(numbered(name, i), "short");
            if (!dispatches.empty() && completed < dispatches.size())
                complete(dispatches[completed].id, 0, 1, AttemptOutcome::succeeded, true), ++completed;
        }
        return static_cast<double>(dispatches.size() - before) * 0.1;
    }
    std::size_t completed = 0;
};

TEST(SlowStartBudget, EachFrontStaysWithinItsShareOfWindowBudget) {
    // 3 x 0.3 x 0.85 x 8 cores x 2 s = 12.24 core-seconds for all fronts together.
    for (const int fronts : {1, 3}) {
        const double sent = SlowStartHarness(fronts).offer_load("a");
        EXPECT_GT(sent, 3.0 / fronts);
        EXPECT_LE(sent, 12.24 / fronts);
    }
}

// A front that has just started must assume that queries of an unknown class take as long as their objective.
// Otherwise one front alone could overload a starting engine.
TEST(SlowStartBudget, CountsUnknownClassByItsObjective) {
    SlowStartHarness harness(1);
    for (int i = 0; i < 100; ++i)
        harness.handle(unestimated(numbered("u", i), "long", 20'000'000));
    const double objective_core_seconds = 3.0 * 2;
    EXPECT_GE(harness.dispatches.size(), 1u);
    EXPECT_LE(static_cast<double>(harness.dispatches.size()) * objective_core_seconds, 12.24);
}

// Returns the completion of a query at engine 1 that reports its work.
AttemptCompleted completed_with_work(const std::string& id, Micros duration, double work_ms) {
    AttemptCompleted c;
    c.id = id, c.engine = 1, c.outcome = AttemptOutcome::succeeded, c.request_finished = true;
    c.duration = duration, c.work_ms = work_ms;
    return c;
}

// Replaces engine 1 by a starting engine 2.
void replace_with_starting_engine(PolicyHarness& harness, Micros started_at) {
    Endpoint starting_endpoint = make_endpoint(2);
    starting_endpoint.started_at = started_at;
    Endpoint removed_endpoint = make_endpoint(1);
    removed_endpoint.state = EndpointState::removed;
    harness.handle(EndpointUpdate{EndpointUpdateKind::incremental, {removed_endpoint, starting_endpoint}});
}

// Offers a starting engine 2 far more load than allowed. `harness.dispatches` then contains what it received.
void overload_starting_engine(PolicyHarness& harness, Micros started_at) {
    replace_with_starting_engine(harness, started_at);
    harness.dispatches.clear();
    for (int i = 0; i < 100; ++i)
        harness.handle(unestimated(numbered("v", i), "long", 20'000'000));
}

// The first responses count more than the initial guess of the class's work.
TEST(SlowStartBudget, FirstResponsesReplaceGuessedWork) {
    PolicySettings s = default_settings();
    s.cost_in_responses = true;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1)});
    for (int i = 0; i < 6; ++i) {
        harness.handle(unestimated(numbered("u", i), "long", 20'000'000));
        harness.handle(completed_with_work(numbered("u", i), 4'000'000, 8'000));
    }
    harness.set_time(1'000'000);
    overload_starting_engine(harness, 900'000);
    EXPECT_LE(static_cast<double>(harness.dispatches.size()) * 8.0, 12.24);
}

// The first responses come from the shortest queries and must not lower the work of the class.
TEST(SlowStartBudget, EarlyShortResponsesDoNotLowerClassWork) {
    PolicySettings s = default_settings();
    s.cost_in_responses = true;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1)});
    harness.set_time(1'000'000);
    for (int i = 0; i < 30; ++i) {
        harness.handle(unestimated(numbered("u", i), "long", 20'000'000));
        harness.handle(completed_with_work(numbered("u", i), 100'000, 200));
    }
    harness.set_time(2'000'000);
    overload_starting_engine(harness, 1'900'000);
    EXPECT_GE(harness.dispatches.size(), 1u);
    EXPECT_LE(static_cast<double>(harness.dispatches.size()) * 6.0, 12.24);
}

// A front that has just started received a few short queries first, which are not representative of the
// class.
TEST(SlowStartBudget, EarlyShortEstimatesDoNotLowerClassWork) {
    SlowStartHarness harness(1);
    const auto submit = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        harness.handle(d);
        if (!harness.dispatches.empty() && harness.completed < harness.dispatches.size())
            harness.complete(harness.dispatches[harness.completed].id, 0, 1, AttemptOutcome::succeeded, true),
                ++harness.completed;
    };
    for (int i = 0; i < 3; ++i)
        submit(numbered("a", i), 100'000);
    for (int i = 0; i < 100; ++i)
        submit(numbered("b", i), 1'000'000);
    EXPECT_GE(harness.dispatches_of('b'), 1);
    EXPECT_LE(harness.dispatches_of('b') * 1.0 + harness.dispatches_of('a') * 0.1, 12.24);
}

// Once the work of a class is known, its short queries count for less than typical ones, and the total work
// stays within the budget.
TEST(SlowStartBudget, UsesBudgetForKnownClassOfMixedQueries) {
    PolicySettings s = default_settings();
    s.cost_in_responses = true;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1)});
    const auto submit = [&](const std::string& id, Micros cost) {
        RequestArrived d = unestimated(id, "long", 20'000'000);
        d.estimated_work = cost;
        const auto before = harness.dispatches.size();
        harness.handle(d);
        if (harness.dispatches.size() == before)
            return;
        AttemptCompleted completion =
            completed_with_work(harness.dispatches.back().id, cost, static_cast<double>(cost) / 1000);
        completion.engine = harness.dispatches.back().engine;
        harness.handle(completion);
    };
    for (int i = 0; i < 30; ++i)
        submit(numbered("a", i), 40'000), submit(numbered("A", i), 360'000);
    harness.set_time(2'000'000);
    replace_with_starting_engine(harness, 1'900'000);
    for (int i = 0; i < 30; ++i)
        submit(numbered("b", i), 40'000), submit(numbered("c", i), 360'000);
    const double sent = harness.dispatches_of('b') * 0.04 + harness.dispatches_of('c') * 0.36;
    EXPECT_GE(sent, 0.9 * 0.6 * 12.24);
    EXPECT_LE(sent, 12.24);
}

TEST(SlowStartBudget, BudgetRenewsAfterWindow) {
    SlowStartHarness harness(1);
    const double first = harness.offer_load("a");
    harness.set_time(101'900'000);
    EXPECT_EQ(harness.offer_load("b"), 0);
    harness.run_until(102'100'000);
    EXPECT_GT(harness.offer_load("c"), first / 2);
}

// ---- Rule 5: order by key

TEST(KeyOrder, RunsOneRequestPerKeyInOrderAndPausesAfterReset) {
    PolicySettings s = default_settings();
    s.classes[1].ordered_by_key = true;
    s.key_order_gap = 500'000;
    s.max_attempts = 1;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
    harness.arrive("a", "long", "k");
    harness.arrive("b", "long", "k");
    harness.arrive("c", "long", "k");
    harness.arrive("other", "long", "k2");
    harness.arrive("free", "long");
    ASSERT_EQ(harness.dispatched_ids(), (std::vector<std::string>{"a", "other", "free"}));
    harness.set_time(100'000);
    harness.complete("a", 0, harness.dispatches[0].engine, AttemptOutcome::succeeded, true);
    harness.run_until(150'000);
    ASSERT_EQ(harness.dispatches.back().id, "b");
    harness.complete("b", 0, harness.dispatches.back().engine, AttemptOutcome::connection_reset);
    EXPECT_EQ(harness.shed_count("b"), 1);
    harness.run_until(640'000);
    EXPECT_EQ(harness.dispatches.back().id, "b");  // still paused
    harness.run_until(720'000);
    EXPECT_EQ(harness.dispatches.back().id, "c");
}

// ---- Rule 6: placement

TEST(Placement, EveryAttemptRespectsAllowedKindsAndZones) {
    PolicySettings s = default_settings();
    s.kinds.push_back({"big", 16, 32768});
    s.classes[0].allowed_kinds = {{"big"}};
    s.classes[1].allowed_zones = {{"z2"}};
    PolicyHarness harness(s);
    Endpoint big = make_endpoint(2);
    big.kind = "big";
    Endpoint far = make_endpoint(3);
    far.zone = "z2";
    harness.update_endpoints({make_endpoint(1), big, far});
    for (int i = 0; i < 10; ++i) {
        harness.arrive(numbered("s", i), "short");
        harness.arrive(numbered("l", i), "long");
    }
    const auto first = harness.dispatches.size();
    for (std::size_t i = 0; i < first; ++i)
        harness.complete(harness.dispatches[i].id, 0, harness.dispatches[i].engine,
                         AttemptOutcome::connection_refused);
    harness.run_until(1'500'000, false);
    ASSERT_GT(harness.dispatches.size(), first);
    for (const DispatchAttempt& dispatch : harness.dispatches)
        EXPECT_EQ(dispatch.engine, dispatch.id[0] == 's' ? 2u : 3u);
    harness.update_endpoints({make_endpoint(1)});
    const auto before = harness.dispatches.size();
    harness.arrive("s-late", "short");
    harness.run_until(9'000'000);
    EXPECT_EQ(harness.dispatches.size(), before);
    EXPECT_EQ(harness.shed_count("s-late"), 1);
}

// ---- Rule 7: retry budget

TEST(RetryBudget, LimitsRetriesToBasePlusRatio) {
    PolicySettings s = default_settings();
    s.retry_budget_base = 2;
    s.retry_budget_ratio = 0.2;
    s.retry_budget_window = 5'000'000;
    PolicyHarness harness(s);
    harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
    harness.arrive_many(10, "a", "short");
    ASSERT_EQ(harness.dispatches.size(), 10u);
    for (int i = 0; i < 10; ++i)
        harness.complete(harness.dispatches[i].id, 0, harness.dispatches[i].engine, AttemptOutcome::failed);
    harness.run_until(700'000, false);
    EXPECT_EQ(harness.dispatches.size() - 10, 4u);  // 2 + 0.2 x 10, and no more
}

TEST(RetryBudget, WithoutBudgetOnlyMaxAttemptsLimitsRetries) {
    PolicyHarness harness(default_settings());
    harness.update_endpoints({make_endpoint(1), make_endpoint(2)});
    harness.arrive("a", "short");
    for (int i = 0; i < 8 && harness.shed_count("a") == 0; ++i) {
        if (harness.dispatches.size() <= static_cast<std::size_t>(i))
            break;
        harness.complete("a", i, harness.dispatches[i].engine, AttemptOutcome::failed);
    }
    harness.run_until(1'000'000, false);
    EXPECT_LE(harness.dispatches.size(), 3u);  // max_attempts
}
