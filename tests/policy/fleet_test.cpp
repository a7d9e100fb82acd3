// Many fronts that share many engines, where the share of one front at one engine is less than one query.
#include <gtest/gtest.h>

#include "policy/rig.hpp"

using namespace gatetiller;
using namespace gatetiller::testing;

namespace {

PolicySettings settings_for_fronts(int fronts) {
    PolicySettings s = default_settings();
    s.instance_count = fronts;
    return s;
}
std::vector<Endpoint> make_fleet(EngineId count) {
    std::vector<Endpoint> endpoints;
    for (EngineId id = 1; id <= count; ++id)
        endpoints.push_back(make_endpoint(id));
    return endpoints;
}
// Dispatches a short query and completes it immediately, with a load report of this number of running
// queries.
void complete_with_report(PolicyHarness& harness, const std::string& id, double running_queries) {
    harness.arrive(id, "short");
    ASSERT_FALSE(harness.dispatches.empty());
    ASSERT_EQ(harness.dispatches.back().id, id);
    AttemptCompleted c;
    c.id = id, c.engine = harness.dispatches.back().engine, c.duration = 100'000, c.request_finished = true;
    c.load_report = LoadReport{};
    c.load_report->running_queries = running_queries;
    harness.handle(c);
}
// Returns a front whose only engine has just started.
PolicyHarness front_with_starting_engine(const PolicySettings& s, std::uint64_t seed) {
    PolicyHarness harness(s, seed);
    Endpoint starting_endpoint = make_endpoint(1);
    starting_endpoint.started_at = 1;
    harness.set_time(1);
    harness.update_endpoints({starting_endpoint});
    return harness;
}

}  // namespace

TEST(Fleet, WithoutReportsLimitsFrontToItsShareOfTheFleet) {
    PolicyHarness harness(settings_for_fronts(170));
    harness.update_endpoints(make_fleet(30));  // 240 cores: the limit is 2.8 threads per front
    harness.arrive_many(20, "l", "long");
    harness.arrive_many(20, "s", "short");
    EXPECT_EQ(harness.dispatches_of('l'), 1);  // one query of each side is always allowed
    EXPECT_EQ(harness.dispatches_of('s'), 1);
}

// Returns the maximum number of open long queries if ten arrive per second and each takes `duration`.
int max_open_queries(Micros duration, int seconds = 12) {
    PolicyHarness harness(settings_for_fronts(170));
    harness.update_endpoints(make_fleet(30));
    int n = 0;
    std::size_t max_dispatched = 0;
    for (int second = 1; second <= seconds; ++second) {
        while (n < second * 10)
            harness.arrive(numbered("l", n++), "long");
        harness.run_until(second * 1'000'000);
        max_dispatched = std::max(max_dispatched, harness.dispatches.size());
        for (const DispatchAttempt& dispatch : std::exchange(harness.dispatches, {}))
            harness.complete(dispatch.id, 0, dispatch.engine, AttemptOutcome::succeeded, true, duration);
    }
    return static_cast<int>(max_dispatched);
}

TEST(Fleet, WithoutReportsShareGrowsOnlyWithoutContention) {
    const int uncontended = max_open_queries(1'000'000);
    EXPECT_GE(uncontended, 4);
    EXPECT_LE(uncontended, 40);
    // Costs are not reported here: responses after their objective indicate contention.
    EXPECT_LE(max_open_queries(9'000'000), 2);
    EXPECT_GE(max_open_queries(0, 30),
              10);  // a run time of 0 means no contention and must not divide by zero
}

TEST(Fleet, ReportedCapacityAdmitsMoreQueries) {
    PolicyHarness harness(settings_for_fronts(170));
    harness.update_endpoints(make_fleet(30));
    for (int i = 0; i < 10; ++i)
        complete_with_report(harness, numbered("h", i), 2);
    harness.arrive_many(10, "l", "long");
    EXPECT_EQ(harness.dispatches_of('l'), 10);
}

TEST(Fleet, ReportedCongestionDelaysOnlyBestEffort) {
    PolicyHarness harness(settings_for_fronts(170));
    harness.update_endpoints(make_fleet(30));
    for (int i = 0; i < 25; ++i)
        complete_with_report(harness, numbered("h", i), 19);
    harness.arrive("l", "long");
    EXPECT_EQ(harness.dispatches_of('l'), 0);
    harness.arrive("s", "short");
    EXPECT_EQ(harness.dispatches_of('s'), 1);
    harness.run_until(4'000'000, false);  // no report is recent now: one query is dispatched
    EXPECT_EQ(harness.dispatches_of('l'), 1);
}

TEST(Fleet, StuckAttemptDoesNotUseTheShare) {
    PolicySettings s = settings_for_fronts(170);
    s.can_cancel = false;
    PolicyHarness harness(s);
    harness.update_endpoints(make_fleet(30));
    harness.arrive("s0", "short");
    for (const char* id : {"s1", "s2", "s3", "s4"})
        harness.arrive(id, "short");
    const auto before = harness.dispatches.size();
    harness.run_until(3'000'000, false);
    EXPECT_GT(harness.dispatches.size(), before);
    EXPECT_EQ(harness.cancels.size(), 0u);
}

TEST(Fleet, OverloadReportLastsAsLongAsReportedQueries) {
    for (const double running_queries : {60.0, 2.0}) {
        PolicyHarness harness(settings_for_fronts(2));
        harness.update_endpoints({make_endpoint(1)});
        for (int i = 0; i < 30; ++i)
            complete_with_report(harness, numbered("w", i), 2);  // also teaches the cost of a query
        harness.arrive("l", "long");
        harness.complete("l", 0, 1, AttemptOutcome::succeeded, true, 1'000'000);
        complete_with_report(harness, "h", running_queries);
        harness.run_until(3'200'000, false);
        const auto before = harness.dispatches.size();
        harness.arrive("a", "long");
        EXPECT_EQ(harness.dispatches.size() - before, running_queries > 50 ? 0u : 1u);
    }
}

TEST(Fleet, GuessedMemoryOfOthersBlocksNothingWithoutReports) {
    PolicySettings s = settings_for_fronts(4);
    s.kinds = {{"std", 8, 100}};  // memory for four queries
    PolicyHarness harness(s);
    harness.update_endpoints(make_fleet(2));
    harness.arrive("l", "long");
    EXPECT_EQ(harness.dispatches.size(), 1u);
}

TEST(Fleet, StartingEngineStaysWithinBudgetOfAllFrontsAndIsUsed) {
    constexpr int kFronts = 150;
    const PolicySettings s = settings_for_fronts(kFronts);
    const double budget =
        s.overload_factor * s.slow_start_capacity_share * 0.85 * 8 * 2;  // core-seconds per window
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::vector<double> window(8, 0);
        double total_work = 0;
        for (int front = 0; front < kFronts; ++front) {
            PolicyHarness harness =
                front_with_starting_engine(s, seed * 1000 + static_cast<std::uint64_t>(front));
            const auto complete_dispatched = [&] {
                while (!harness.dispatches.empty())  // a response may allow the next dispatch
                    for (const DispatchAttempt& dispatch : std::exchange(harness.dispatches, {})) {
                        window[static_cast<std::size_t>(harness.now / 2'000'000)] += 0.1, total_work += 0.1;
                        harness.complete(dispatch.id, 0, 1, AttemptOutcome::succeeded, true);
                    }
            };
            for (int step = 0; step < 7; ++step) {  // far more load than the engine may receive
                for (int i = 0; i < 3; ++i)
                    harness.arrive(numbered("s", step * 3 + i), "short");
                complete_dispatched();
                harness.run_until(2'000'000 * (step + 1) - 900'000, false);
                complete_dispatched();
            }
        }
        for (const double sent : window)
            EXPECT_LT(sent, budget);
        EXPECT_GT(total_work, budget);  // in seven windows together
    }
}

TEST(Fleet, LongQueryIsNotDrawnForStartingEngine) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        PolicyHarness harness = front_with_starting_engine(settings_for_fronts(150), seed);
        harness.arrive("l", "long");
        harness.run_until(8'000'000, false);
        EXPECT_EQ(harness.dispatches.size(), 0u);
    }
}

TEST(Fleet, HealthChecksStayWithinShareOfRequests) {
    PolicySettings s = settings_for_fronts(170);
    s.can_health_check = true;
    s.load_report_source = LoadReportSource::health_checks;
    PolicyHarness harness(s);
    harness.update_endpoints(make_fleet(30));
    for (int i = 0; i < 50; ++i) {
        harness.arrive(numbered("s", i), "short");
        harness.run_until(300'000 * (i + 1), false);
    }
    int checks = 0;
    std::set<EngineId> checked_engines;
    for (const Action& action : harness.other_actions)
        if (const auto* p = std::get_if<CheckHealth>(&action))
            ++checks, checked_engines.insert(p->engine);
    EXPECT_LE(checks, 21);
    EXPECT_GE(checks, 15);
    EXPECT_GE(checked_engines.size(), 15u);  // the engine checked least recently is first
}

TEST(Fleet, EveryRequestEndsWithUnusualListsAndSizes) {
    for (const int fronts : {1, 270})
        for (const EngineId engines : {0u, 1u, 40u}) {
            PolicySettings s = settings_for_fronts(fronts);
            s.kinds = {{"std", 0, 0}};  // cores and memory unknown
            PolicyHarness harness(s);
            harness.update_endpoints(make_fleet(engines));
            harness.arrive_many(8, "s", "short");
            harness.arrive_many(8, "l", "long");
            harness.update_endpoints({});  // the list becomes empty while attempts are open
            for (const DispatchAttempt& dispatch : std::exchange(harness.dispatches, {}))
                harness.complete(dispatch.id, 0, dispatch.engine, AttemptOutcome::connection_reset);
            harness.run_until(25'000'000, false);
            EXPECT_EQ(harness.sheds.size() + harness.failures.size(), 16u);
        }
}

// Without load reports, estimates, memory, tenants, cores or progress messages, with a single endpoint list
// update, and with jumps in time.
TEST(Fleet, EveryRequestEndsWithMinimalSettingsAndTimeJumps) {
    for (const int fronts : {1, 300}) {
        PolicySettings s = settings_for_fronts(fronts);
        s.kinds.clear();
        s.supports_memory_grants = s.supports_priorities = s.can_cancel = s.sends_retry_after = false;
        s.slow_start_window = s.overload_window = s.drain_grace = 0;
        s.slow_start_capacity_share = s.overload_factor = 0;
        PolicyHarness harness(s);
        harness.update_endpoints(make_fleet(5));
        std::size_t completed = 0;
        int n = 0;
        for (int jump = 1; jump <= 8; ++jump) {
            for (int i = 0; i < 6; ++i) {
                harness.handle(unestimated(numbered("q", n++), i % 2 ? "short" : "long", 4'000'000));
            }
            for (const DispatchAttempt& dispatch : std::exchange(harness.dispatches, {})) {
                harness.complete(dispatch.id, 0, dispatch.engine, AttemptOutcome::succeeded, true, 50'000);
                harness.complete(dispatch.id, 0, dispatch.engine, AttemptOutcome::succeeded, true,
                                 50'000);  // completes the same attempt again
                ++completed;
            }
            harness.set_time(harness.now + 3'000'000);
            harness.handle(TimerFired{0});
        }
        harness.run_until(harness.now + 5'000'000, false);
        for (const DispatchAttempt& dispatch : harness.dispatches) {
            harness.complete(dispatch.id, 0, dispatch.engine, AttemptOutcome::succeeded, true);
            ++completed;
        }
        EXPECT_GT(completed, 0u);
        for (int i = 0; i < n; ++i)
            EXPECT_LE(harness.shed_count(numbered("q", i)) + harness.failed_count(numbered("q", i)), 1)
                << fronts << ' ' << i;
        EXPECT_EQ(completed + harness.sheds.size() + harness.failures.size(), static_cast<std::size_t>(n));
    }
}
