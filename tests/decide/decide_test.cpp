#include <gtest/gtest.h>

#include <array>
#include <set>

#include "base/random.hpp"
#include "decide/attempt_end.hpp"
#include "decide/client_time_left.hpp"
#include "decide/endpoint_state_tracker.hpp"
#include "decide/progress_reporter.hpp"
#include "decide/request_lifecycle.hpp"
#include "decide/routing.hpp"
#include "decide/statement_admission.hpp"

namespace gatetiller::decide {
namespace {

TEST(AttemptEnd, OnlyWhatTheProtocolProvesNeverRanCountsSo) {
    using How = AttemptEnd::Kind;
    const auto never_ran = [](AttemptOutcome o) {
        return o == AttemptOutcome::rejected || o == AttemptOutcome::connection_refused ||
               o == AttemptOutcome::not_sent;
    };
    for (const How how : {How::answered, How::not_sent, How::connect_timeout, How::local_resource_exhausted,
                          How::rejected, How::connection_lost, How::timed_out})
        for (const int status : {0, 200, 400, 404, 429, 500, 502, 503, 504})
            for (const char* name : {"", "QUERY_QUEUE_FULL", "SERVER_SHUTTING_DOWN", "SYNTAX_ERROR"})
                for (const bool ran : {false, true}) {
                    const std::string type =
                        std::string(name) == "SYNTAX_ERROR" ? "USER_ERROR" : "INSUFFICIENT_RESOURCES";
                    const auto v = classify_attempt_end({how, status, *name != 0, type, name, ran});
                    const bool proven =
                        how == How::not_sent || how == How::connect_timeout ||
                        how == How::local_resource_exhausted ||
                        (how == How::rejected && (status == 429 || status == 503)) ||
                        (how == How::answered && std::string(name) == "QUERY_QUEUE_FULL" && !ran);
                    EXPECT_EQ(never_ran(v.outcome), proven);
                    // Only an engine's own word is passed on to the client.
                    if (v.for_client) {
                        EXPECT_TRUE(how == How::answered || how == How::rejected);
                    }
                    EXPECT_EQ(v.outcome == AttemptOutcome::succeeded,
                              how == How::answered && (*name == 0 || type == "USER_ERROR"));
                }
}

TEST(Routing, TheFirstRouteThatMatchesDecides) {
    Router r({{"", "batch*", "", "", {}, "load", "", "user", "tag:key=", "tag:group="},
              {"", "", "", "", {"report", "x*"}, "report", "fixed", "", "", ""},
              {"ann", "", "", "", {}, "short", "", "tag:team=", "trace_token", "catalog"}},
             {"a", "ann", "others"});
    Traits t{"ann", "batch-7", "cat", "sch", "trace", {"key=k1", "group=g", "team=a"}};
    auto to = r.route(t);
    EXPECT_EQ(to->cls, "load");
    EXPECT_EQ(to->tenant, "ann");
    EXPECT_EQ(to->key, "k1");
    EXPECT_GT(to->group, 0);
    const auto same = r.route(t)->group;
    t.tags[1] = "group=h";
    EXPECT_NE(r.route(t)->group, same);
    t.source = "cli";
    to = r.route(t);
    EXPECT_EQ(to->cls, "short");
    EXPECT_EQ(to->tenant, "a");
    EXPECT_EQ(to->key, "trace");
    t.tags = {"report", "xyz"};
    EXPECT_EQ(r.route(t)->cls, "report");
    t.tags = {"report"};
    EXPECT_EQ(r.route(t)->tenant, "others");
    t.user = "bob";
    EXPECT_FALSE(r.route(t));
}

TEST(Holding, CountsWhatItAdmitsOverManySeeds) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StatementLimits limits;
        limits.statements = 20, limits.statements_per_user = 8, limits.statement_bytes = 100;
        StatementAdmission holding(limits);
        std::map<std::string, std::size_t> mine;
        for (int i = 0; i < 300; ++i) {
            const std::string user(1, static_cast<char>('a' + random.below(4)));
            if (random.chance(0.6)) {
                const std::size_t size = random.below(110), all = holding.statements();
                const auto how = holding.admit(user, size);
                EXPECT_EQ(how == AdmissionVerdict::admitted, size <= 100 && all < 20 && mine[user] < 8)
                    << "seed " << seed;
                mine[user] += how == AdmissionVerdict::admitted;
            } else if (mine[user] > 0) {
                holding.release(user);
                --mine[user];
            }
        }
    }
    StatementLimits limits;
    limits.row_buffer_bytes = 100, limits.total_row_buffer_bytes = 1000;
    const StatementAdmission h(limits);
    EXPECT_TRUE(h.can_fetch_more(99, 999));
    EXPECT_FALSE(h.can_fetch_more(100, 100));
    EXPECT_FALSE(h.can_fetch_more(50, 1000));
    EXPECT_TRUE(h.can_fetch_more(0, 5000));  // one page at a time, whatever the others hold
}

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
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);  // by its own word
    EXPECT_TRUE(w.on_status_reported(now, false, false, std::nullopt));
    EXPECT_EQ(w.endpoint().state, EndpointState::ready);
    EXPECT_TRUE(w.on_status_reported(now, false, true, std::nullopt));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);  // still starting
}

TEST(Life, WhateverHappensInWhateverOrderItsPromisesHold) {
    constexpr std::array kAll = {RequestEvent::attempt_started,    RequestEvent::streaming_started,
                                 RequestEvent::attempt_ended,      RequestEvent::response_ready,
                                 RequestEvent::response_delivered, RequestEvent::client_disconnected};
    std::set<std::pair<RequestPhase, bool>> reached;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        RequestLifecycle life;
        int answers = 0, ends = 0, rows = 0;
        bool had_rows = false;
        for (int i = 0; i < 30; ++i) {
            const RequestEvent h = kAll[random.below(kAll.size())];
            const RequestLifecycle before = life;
            if (!life.apply(h)) {
                EXPECT_EQ(life.phase(), before.phase()) << "seed " << seed;
                continue;
            }
            answers += h == RequestEvent::response_ready;
            rows += h == RequestEvent::streaming_started;
            ends += h == RequestEvent::response_delivered || h == RequestEvent::client_disconnected;
            if (h == RequestEvent::attempt_started) {
                EXPECT_FALSE(before.attempt_in_flight() || before.finished() || had_rows)
                    << "seed " << seed;  // one at a time, none after rows or an answer
            }
            had_rows = had_rows || h == RequestEvent::streaming_started;
            EXPECT_LE(answers, 1);
            EXPECT_LE(ends, 1);
            EXPECT_LE(rows, 1);
            EXPECT_EQ(life.releasable(), life.phase() == RequestPhase::closed && !life.attempt_in_flight());
            reached.insert({life.phase(), life.attempt_in_flight()});
        }
    }
    EXPECT_EQ(reached.size(),
              8u);  // every phase with and without an attempt out, but held with and trying without one
}

TEST(Notes, ProgressComesOnceAPeriodAndNewsAtOnce) {
    ProgressReporter notes(1000, 100);
    const auto topics = [&](Micros now, const QueryStats& seen) {
        std::vector<ProgressKind> t;
        for (const auto& told : notes.observe(now, seen))
            t.push_back(told.kind);
        return t;
    };
    using T = std::vector<ProgressKind>;
    EXPECT_EQ(topics(1025, {.progress = 1}), T{});  // too soon to be judged by
    EXPECT_EQ(topics(1100, {.progress = 10}), T{ProgressKind::fraction_done});
    EXPECT_EQ(topics(1150, {.progress = 15}), T{});
    EXPECT_EQ(topics(1160, {.queued = true}), T{ProgressKind::waiting});
    EXPECT_EQ(topics(1170, {.queued = true}), T{});
    EXPECT_EQ(notes.observe(1180, {.scheduled = true, .queued_splits = 3}).at(0).value,
              2);  // another reason: news
    EXPECT_EQ(topics(1280, {.scheduled = true, .queued_splits = 3}), T{ProgressKind::waiting});
    EXPECT_EQ(topics(1281, {.running_splits = 1, .spilled_bytes = 1 << 20}),
              (T{ProgressKind::spilling, ProgressKind::fraction_done}));
    EXPECT_EQ(topics(1300, {.running_splits = 1, .spilled_bytes = 1 << 20}), T{});
}

TEST(Patience, TheReserveTakesAtMostATenth) {
    EXPECT_EQ(client_time_left(10'000'000, 0, 50'000), 9'950'000);
    EXPECT_EQ(client_time_left(100'000, 0, 50'000), 90'000);
    EXPECT_EQ(client_time_left(10'000'000, 600'000, 50'000), 9'350'000);
    EXPECT_EQ(client_time_left(500'000, 600'000, 50'000), 0);
}

// A front that has just started takes no engine for warm before it has heard of it, and lets cold ones be
// while the life before it may have pushed them.
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
    // A warm one is never held, and one that drains goes on draining.
    EXPECT_FALSE(w.hold_in_slow_start(now + warm_up, now + 2 * warm_up, warm_up));
    w.on_status_reported(now + warm_up, true, false, std::nullopt);
    EXPECT_FALSE(w.hold_in_slow_start(now + warm_up, 0, warm_up));
    EXPECT_EQ(w.endpoint().state, EndpointState::draining);
}

}  // namespace
}  // namespace gatetiller::decide
