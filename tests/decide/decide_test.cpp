#include <gtest/gtest.h>

#include <array>
#include <set>

#include "base/random.hpp"
#include "decide/attempt_end.hpp"
#include "decide/engine_watch.hpp"
#include "decide/holding.hpp"
#include "decide/life.hpp"
#include "decide/notes.hpp"
#include "decide/patience.hpp"
#include "decide/routing.hpp"

namespace gatetiller::decide {
namespace {

TEST(AttemptEnd, OnlyWhatTheProtocolProvesNeverRanCountsSo) {
    using How = AttemptEnd::How;
    const auto never_ran = [](Outcome o) {
        return o == Outcome::busy || o == Outcome::econnrefused || o == Outcome::skipped;
    };
    for (const How how : {How::answered, How::not_sent, How::connect_late, How::lacked_here, How::turned_away,
                          How::lost, How::late})
        for (const int status : {0, 200, 400, 404, 429, 500, 502, 503, 504})
            for (const char* name : {"", "QUERY_QUEUE_FULL", "SERVER_SHUTTING_DOWN", "SYNTAX_ERROR"})
                for (const bool ran : {false, true}) {
                    const std::string type =
                        std::string(name) == "SYNTAX_ERROR" ? "USER_ERROR" : "INSUFFICIENT_RESOURCES";
                    const auto v = judge({how, status, *name != 0, type, name, ran});
                    const bool proven =
                        how == How::not_sent || how == How::connect_late || how == How::lacked_here ||
                        (how == How::turned_away && (status == 429 || status == 503)) ||
                        (how == How::answered && std::string(name) == "QUERY_QUEUE_FULL" && !ran);
                    EXPECT_EQ(never_ran(v.outcome), proven);
                    // Only an engine's own word is passed on to the client.
                    if (v.for_client) {
                        EXPECT_TRUE(how == How::answered || how == How::turned_away);
                    }
                    EXPECT_EQ(v.outcome == Outcome::done,
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
        HoldingLimits limits;
        limits.statements = 20, limits.statements_per_user = 8, limits.statement_bytes = 100;
        Holding holding(limits);
        std::map<std::string, std::size_t> mine;
        for (int i = 0; i < 300; ++i) {
            const std::string user(1, static_cast<char>('a' + random.below(4)));
            if (random.chance(0.6)) {
                const std::size_t size = random.below(110), all = holding.statements();
                const auto how = holding.admit(user, size);
                EXPECT_EQ(how == Admission::taken, size <= 100 && all < 20 && mine[user] < 8)
                    << "seed " << seed;
                mine[user] += how == Admission::taken;
            } else if (mine[user] > 0) {
                holding.finished(user);
                --mine[user];
            }
        }
    }
    HoldingLimits limits;
    limits.rows_ahead = 100, limits.rows_in_all = 1000;
    const Holding h(limits);
    EXPECT_TRUE(h.may_ask_on(99, 999));
    EXPECT_FALSE(h.may_ask_on(100, 100));
    EXPECT_FALSE(h.may_ask_on(50, 1000));
    EXPECT_TRUE(h.may_ask_on(0, 5000));  // one page at a time, whatever the others hold
}

TEST(EngineWatch, TheStricterAccountHoldsAndANewProcessIsCold) {
    EngineWatch w;
    EngineEntry e;
    e.id = 4;
    EXPECT_TRUE(w.listed(e));
    EXPECT_FALSE(w.listed(e));
    Micros now = 100 * kSecondMicros;
    EXPECT_TRUE(w.said(now, false, false, 50 * kSecondMicros));
    const Micros first = w.entry().came_up;
    EXPECT_FALSE(w.said(now += kSecondMicros, false, false, 51 * kSecondMicros - 300));  // the same start
    EXPECT_TRUE(w.said(now += kSecondMicros, false, false, kSecondMicros / 2));
    EXPECT_GT(w.entry().came_up, first);
    EXPECT_TRUE(w.said(now, true, false, std::nullopt));
    EXPECT_EQ(w.entry().state, EngineState::fading);
    e.state = EngineState::off;
    EXPECT_TRUE(w.listed(e));
    EXPECT_EQ(w.entry().state, EngineState::off);
    e.state = EngineState::on;
    EXPECT_TRUE(w.listed(e));
    EXPECT_EQ(w.entry().state, EngineState::fading);  // by its own word
    EXPECT_TRUE(w.said(now, false, false, std::nullopt));
    EXPECT_EQ(w.entry().state, EngineState::on);
    EXPECT_TRUE(w.said(now, false, true, std::nullopt));
    EXPECT_EQ(w.entry().state, EngineState::fading);  // still starting
}

TEST(Life, WhateverHappensInWhateverOrderItsPromisesHold) {
    constexpr std::array kAll = {Happening::sent,   Happening::rows_given,  Happening::attempt_over,
                                 Happening::answer, Happening::final_given, Happening::left};
    std::set<std::pair<Phase, bool>> reached;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        Random random(seed);
        Life life;
        int answers = 0, ends = 0, rows = 0;
        bool had_rows = false;
        for (int i = 0; i < 30; ++i) {
            const Happening h = kAll[random.below(kAll.size())];
            const Life before = life;
            if (!life.take(h)) {
                EXPECT_EQ(life.phase(), before.phase()) << "seed " << seed;
                continue;
            }
            answers += h == Happening::answer;
            rows += h == Happening::rows_given;
            ends += h == Happening::final_given || h == Happening::left;
            if (h == Happening::sent) {
                EXPECT_FALSE(before.out() || before.finished() || had_rows)
                    << "seed " << seed;  // one at a time, none after rows or an answer
            }
            had_rows = had_rows || h == Happening::rows_given;
            EXPECT_LE(answers, 1);
            EXPECT_LE(ends, 1);
            EXPECT_LE(rows, 1);
            EXPECT_EQ(life.freeable(), life.phase() == Phase::over && !life.out());
            reached.insert({life.phase(), life.out()});
        }
    }
    EXPECT_EQ(reached.size(),
              8u);  // every phase with and without an attempt out, but held with and trying without one
}

TEST(Notes, ProgressComesOnceAPeriodAndNewsAtOnce) {
    Notes notes(1000, 100);
    const auto topics = [&](Micros now, const Seen& seen) {
        std::vector<NoteTopic> t;
        for (const auto& told : notes.take(now, seen))
            t.push_back(told.topic);
        return t;
    };
    using T = std::vector<NoteTopic>;
    EXPECT_EQ(topics(1025, {.progress = 1}), T{});  // too soon to be judged by
    EXPECT_EQ(topics(1100, {.progress = 10}), T{NoteTopic::progress});
    EXPECT_EQ(topics(1150, {.progress = 15}), T{});
    EXPECT_EQ(topics(1160, {.queued = true}), T{NoteTopic::waits});
    EXPECT_EQ(topics(1170, {.queued = true}), T{});
    EXPECT_EQ(notes.take(1180, {.scheduled = true, .queued_splits = 3}).at(0).value,
              2);  // another reason: news
    EXPECT_EQ(topics(1280, {.scheduled = true, .queued_splits = 3}), T{NoteTopic::waits});
    EXPECT_EQ(topics(1281, {.running_splits = 1, .spilled_bytes = 1 << 20}),
              (T{NoteTopic::spills, NoteTopic::progress}));
    EXPECT_EQ(topics(1300, {.running_splits = 1, .spilled_bytes = 1 << 20}), T{});
}

TEST(Patience, TheReserveTakesAtMostATenth) {
    EXPECT_EQ(time_left(10'000'000, 0, 50'000), 9'950'000);
    EXPECT_EQ(time_left(100'000, 0, 50'000), 90'000);
    EXPECT_EQ(time_left(10'000'000, 600'000, 50'000), 9'350'000);
    EXPECT_EQ(time_left(500'000, 600'000, 50'000), 0);
}

// A front that has just started takes no engine for warm before it has heard of it, and lets cold ones be
// while the life before it may have pushed them.
TEST(EngineWatch, NothingGoesToAnEngineThatMayBeColdUnknown) {
    const EngineEntry listed{1, EngineState::on, "z", "k", 0, 0, 1};
    const Micros now = 100 * kSecondMicros, warm_up = 15 * kSecondMicros;
    EngineWatch w;
    w.will_be_asked();
    w.listed(listed);
    EXPECT_EQ(w.entry().state, EngineState::fading);
    EngineWatch unanswered = w;
    EXPECT_TRUE(unanswered.could_not_be_asked());
    EXPECT_EQ(unanswered.entry().state, EngineState::on);
    EXPECT_TRUE(w.said(now, false, false, 3 * kSecondMicros));
    EXPECT_EQ(w.entry().state, EngineState::on);
    EXPECT_EQ(w.entry().came_up, now - 3 * kSecondMicros);
    EXPECT_TRUE(w.hold_while_cold(now, now + kSecondMicros, warm_up));
    EXPECT_EQ(w.entry().state, EngineState::fading);
    EXPECT_TRUE(w.hold_while_cold(now + kSecondMicros, now + kSecondMicros, warm_up));
    EXPECT_EQ(w.entry().state, EngineState::on);
    // A warm one is never held, and one that drains goes on draining.
    EXPECT_FALSE(w.hold_while_cold(now + warm_up, now + 2 * warm_up, warm_up));
    w.said(now + warm_up, true, false, std::nullopt);
    EXPECT_FALSE(w.hold_while_cold(now + warm_up, 0, warm_up));
    EXPECT_EQ(w.entry().state, EngineState::fading);
}

}  // namespace
}  // namespace gatetiller::decide
