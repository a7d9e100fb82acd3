// Many fronts on many engines, where a front's part of an engine is less than one query.
#include <gtest/gtest.h>

#include "policy/rig.hpp"

using namespace gatetiller;
using namespace gatetiller::testing;

namespace {

PolicySettings one_of(int fronts) {
    PolicySettings s = plain();
    s.instance_count = fronts;
    return s;
}
std::vector<Endpoint> fleet(EngineId count) {
    std::vector<Endpoint> all;
    for (EngineId id = 1; id <= count; ++id)
        all.push_back(engine(id));
    return all;
}
// A short query that comes back at once from whatever engine had it, with so many queries reported there.
void hear(Rig& rig, const std::string& id, double concurrent) {
    rig.arrive(id, "short");
    ASSERT_FALSE(rig.dispatches.empty());
    ASSERT_EQ(rig.dispatches.back().id, id);
    AttemptCompleted c;
    c.id = id, c.engine = rig.dispatches.back().engine, c.duration = 100'000, c.request_finished = true;
    c.load_report = LoadReport{};
    c.load_report->running_queries = concurrent;
    rig.handle(c);
}
// A front of so many that knows one engine, just started.
Rig beside_cold(const PolicySettings& s, std::uint64_t seed) {
    Rig rig(s, seed);
    Endpoint cold = engine(1);
    cold.started_at = 1;
    rig.at(1);
    rig.update_endpoints({cold});
    return rig;
}

}  // namespace

TEST(Fleet, WithoutReportsAFrontKeepsToItsPartOfAllEngines) {
    Rig rig(one_of(170));
    rig.update_endpoints(fleet(30));  // 240 cores: C comes to 2.8 threads a front
    rig.arrive_many(20, "l", "long");
    rig.arrive_many(20, "s", "short");
    EXPECT_EQ(rig.dispatches_of('l'), 1);  // one of each side may always be out
    EXPECT_EQ(rig.dispatches_of('s'), 1);
}

// Long queries asked for ten at a time each second, each answered after so long; how many are out at most.
int most_out(Micros taken, int seconds = 12) {
    Rig rig(one_of(170));
    rig.update_endpoints(fleet(30));
    int n = 0;
    std::size_t most = 0;
    for (int second = 1; second <= seconds; ++second) {
        while (n < second * 10)
            rig.arrive(nth("l", n++), "long");
        rig.run_until(second * 1'000'000);
        most = std::max(most, rig.dispatches.size());
        for (const DispatchAttempt& send : std::exchange(rig.dispatches, {}))
            rig.complete(send.id, 0, send.engine, AttemptOutcome::succeeded, true, taken);
    }
    return static_cast<int>(most);
}

TEST(Fleet, WithoutReportsThePartGrowsWhileEnginesAreCalmOnly) {
    const int calm = most_out(1'000'000);
    EXPECT_GE(calm, 4);
    EXPECT_LE(calm, 40);
    // Costs aren't told here: answers after their aim are the sign of strain.
    EXPECT_LE(most_out(9'000'000), 2);
    EXPECT_GE(most_out(0, 30), 10);  // answers that took no time are calm, not a division by zero
}

TEST(Fleet, ReportsOfRoomLetMorePass) {
    Rig rig(one_of(170));
    rig.update_endpoints(fleet(30));
    for (int i = 0; i < 10; ++i)
        hear(rig, nth("h", i), 2);
    rig.arrive_many(10, "l", "long");
    EXPECT_EQ(rig.dispatches_of('l'), 10);
}

TEST(Fleet, BestEffortWaitsWhileReportsShowCongestionAndSensitiveGoesOn) {
    Rig rig(one_of(170));
    rig.update_endpoints(fleet(30));
    for (int i = 0; i < 25; ++i)
        hear(rig, nth("h", i), 19);
    rig.arrive("l", "long");
    EXPECT_EQ(rig.dispatches_of('l'), 0);
    rig.arrive("s", "short");
    EXPECT_EQ(rig.dispatches_of('s'), 1);
    rig.run_until(4'000'000, false);  // no report is young any more: one goes out and hears
    EXPECT_EQ(rig.dispatches_of('l'), 1);
}

TEST(Fleet, AStuckAttemptDoesNotKeepThePart) {
    PolicySettings s = one_of(170);
    s.can_cancel = false;
    Rig rig(s);
    rig.update_endpoints(fleet(30));
    rig.arrive("s0", "short");
    for (const char* id : {"s1", "s2", "s3", "s4"})
        rig.arrive(id, "short");
    const auto before = rig.dispatches.size();
    rig.run_until(3'000'000, false);
    EXPECT_GT(rig.dispatches.size(), before);
    EXPECT_EQ(rig.cancels.size(), 0u);
}

TEST(Fleet, AReportOfOverloadHoldsAsLongAsWhatItCounts) {
    for (const double held : {60.0, 2.0}) {
        Rig rig(one_of(2));
        rig.update_endpoints({engine(1)});
        for (int i = 0; i < 30; ++i)
            hear(rig, nth("w", i), 2);  // and what a query costs
        rig.arrive("l", "long");
        rig.complete("l", 0, 1, AttemptOutcome::succeeded, true, 1'000'000);
        hear(rig, "h", held);
        rig.run_until(3'200'000, false);
        const auto before = rig.dispatches.size();
        rig.arrive("a", "long");
        EXPECT_EQ(rig.dispatches.size() - before, held > 50 ? 0u : 1u);
    }
}

TEST(Fleet, MemoryEstimatedForOthersBarsNothingWithoutReports) {
    PolicySettings s = one_of(4);
    s.kinds = {{"std", 8, 100}};  // four queries fill an engine
    Rig rig(s);
    rig.update_endpoints(fleet(2));
    rig.arrive("l", "long");
    EXPECT_EQ(rig.dispatches.size(), 1u);
}

TEST(Fleet, ColdEngineStaysInBudgetOverAllFrontsAndIsUsed) {
    constexpr int kFronts = 150;
    const PolicySettings s = one_of(kFronts);
    const double budget =
        s.overload_factor * s.slow_start_capacity_share * 0.85 * 8 * 2;  // core-seconds a window
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::vector<double> window(8, 0);
        double all = 0;
        for (int me = 0; me < kFronts; ++me) {
            Rig rig = beside_cold(s, seed * 1000 + static_cast<std::uint64_t>(me));
            const auto take = [&] {
                while (!rig.dispatches.empty())  // an answer may free the next
                    for (const DispatchAttempt& send : std::exchange(rig.dispatches, {})) {
                        window[static_cast<std::size_t>(rig.now / 2'000'000)] += 0.1, all += 0.1;
                        rig.complete(send.id, 0, 1, AttemptOutcome::succeeded, true);
                    }
            };
            for (int step = 0; step < 7; ++step) {  // far more is asked for than the engine may get
                for (int i = 0; i < 3; ++i)
                    rig.arrive(nth("s", step * 3 + i), "short");
                take();
                rig.run_until(2'000'000 * (step + 1) - 900'000, false);
                take();
            }
        }
        for (const double sent : window)
            EXPECT_LT(sent, budget);
        EXPECT_GT(all, budget);  // over seven windows
    }
}

TEST(Fleet, ALongQueryDoesNotGoToAColdEngineByDraw) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Rig rig = beside_cold(one_of(150), seed);
        rig.arrive("l", "long");
        rig.run_until(8'000'000, false);
        EXPECT_EQ(rig.dispatches.size(), 0u);
    }
}

TEST(Fleet, HealthChecksStayWithinAShareOfTheRequests) {
    PolicySettings s = one_of(170);
    s.can_health_check = true;
    s.load_report_source = LoadReportSource::health_checks;
    Rig rig(s);
    rig.update_endpoints(fleet(30));
    for (int i = 0; i < 50; ++i) {
        rig.arrive(nth("s", i), "short");
        rig.run_until(300'000 * (i + 1), false);
    }
    int probes = 0;
    std::set<EngineId> asked;
    for (const Action& action : rig.others)
        if (const auto* p = std::get_if<CheckHealth>(&action))
            ++probes, asked.insert(p->engine);
    EXPECT_LE(probes, 21);
    EXPECT_GE(probes, 15);
    EXPECT_GE(asked.size(), 15u);  // the one not asked for longest goes first
}

TEST(Fleet, OddListsAndSizesGiveEveryRequestItsAnswer) {
    for (const int fronts : {1, 270})
        for (const EngineId engines : {0u, 1u, 40u}) {
            PolicySettings s = one_of(fronts);
            s.kinds = {{"std", 0, 0}};  // nothing told of cores or memory
            Rig rig(s);
            rig.update_endpoints(fleet(engines));
            rig.arrive_many(8, "s", "short");
            rig.arrive_many(8, "l", "long");
            rig.update_endpoints({});  // the list shrinks while work is out
            for (const DispatchAttempt& send : std::exchange(rig.dispatches, {}))
                rig.complete(send.id, 0, send.engine, AttemptOutcome::connection_reset);
            rig.run_until(25'000'000, false);
            EXPECT_EQ(rig.sheds.size() + rig.failures.size(), 16u);
        }
}

// Nothing is told: no reports, estimates, memory, tenants, cores or notes; the list comes once, and time
// jumps.
TEST(Fleet, WithEverythingAbsentAndTimeJumpingEveryRequestGetsItsAnswer) {
    for (const int fronts : {1, 300}) {
        PolicySettings s = one_of(fronts);
        s.kinds.clear();
        s.supports_memory_grants = s.supports_priorities = s.can_cancel = s.sends_retry_after = false;
        s.slow_start_window = s.overload_window = s.drain_grace = 0;
        s.slow_start_capacity_share = s.overload_factor = 0;
        Rig rig(s);
        rig.update_endpoints(fleet(5));
        std::size_t answered = 0;
        int n = 0;
        for (int jump = 1; jump <= 8; ++jump) {
            for (int i = 0; i < 6; ++i) {
                rig.handle(unestimated(nth("q", n++), i % 2 ? "short" : "long", 4'000'000));
            }
            for (const DispatchAttempt& send : std::exchange(rig.dispatches, {})) {
                rig.complete(send.id, 0, send.engine, AttemptOutcome::succeeded, true, 50'000);
                rig.complete(send.id, 0, send.engine, AttemptOutcome::succeeded, true,
                             50'000);  // an ended one again
                ++answered;
            }
            rig.at(rig.now + 3'000'000);
            rig.handle(TimerFired{0});
        }
        rig.run_until(rig.now + 5'000'000, false);
        for (const DispatchAttempt& send : rig.dispatches) {
            rig.complete(send.id, 0, send.engine, AttemptOutcome::succeeded, true);
            ++answered;
        }
        EXPECT_GT(answered, 0u);
        for (int i = 0; i < n; ++i)
            EXPECT_LE(rig.shed_count(nth("q", i)) + rig.failed_count(nth("q", i)), 1) << fronts << ' ' << i;
        EXPECT_EQ(answered + rig.sheds.size() + rig.failures.size(), static_cast<std::size_t>(n));
    }
}
