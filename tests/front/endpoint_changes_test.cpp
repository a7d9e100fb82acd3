// Front and endpoint list: draining, lost connections, engines that return to the list, restarts.
#include "front/front_test_bed.hpp"

namespace gatetiller::testing {
namespace {

TEST(FrontEndpoints, DrainingEngineReceivesNoStatementsAndDrainingFrontFinishesItsOwn) {
    FrontTestBed w(2);
    ClientStatement& running = w.submit("SELECT 1 /* gt: work_ms=300 */", "test", "running");
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("started", "running") == 1;
    }));
    w.engine(0).drain();
    // The front observes it within one status poll interval; the grace of the rule is two seconds.
    ASSERT_TRUE(w.wait_until([&] {
        for (const auto& [id, e] : w.front().engines().all())
            if (e->settings.name == "e0" && e->state_tracker.endpoint().state == EndpointState::draining)
                return true;
        return false;
    }));
    const auto before = w.journal.size();
    for (int i = 0; i < 10; ++i)
        w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return std::all_of(w.submitted.begin(), w.submitted.end(), [](auto& a) {
            return a->ended;
        });
    }));
    for (const auto& a : w.submitted)
        EXPECT_EQ(a->error(), "");
    EXPECT_EQ(w.engine(0).running(), 0u);
    EXPECT_GT(w.journal.size(), before);
    EXPECT_TRUE(running.ended);
    ClientStatement& last = w.submit("SELECT 1 /* gt: work_ms=200 */", "test", "last");
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("started", "last") == 1;
    }));
    EXPECT_EQ(w.exchange("PUT", "/v1/info/state", "\"SHUTTING_DOWN\"").response.status, 200);
    EXPECT_EQ(w.exchange("GET", "/v1/info/state").response.body, "\"SHUTTING_DOWN\"");
    const auto turned = w.exchange("POST", "/v1/statement", "SELECT 1");
    EXPECT_EQ(turned.response.status, 503);
    EXPECT_TRUE(turned.response.headers.find("Retry-After"));
    ASSERT_TRUE(w.wait_until([&] {
        return last.ended;
    }));
    EXPECT_EQ(last.error(), "");
    w.expect_no_violations();
}

// When all connections of an engine close at once, its process may have been replaced by one that is not
// warmed up. Waiting for the next periodic poll would be too late.
TEST(FrontEndpoints, PollsEngineThatLostAllConnectionsBeforeSendingMore) {
    FrontTestBed w(1, "roster+: { watch_every: '60s' }");
    int held = 0;
    w.drop_event = [&](const Event& e) {
        const auto* change = std::get_if<EndpointUpdate>(&e);
        held += change && !change->endpoints.empty() && change->endpoints[0].state == EndpointState::draining;
        return false;
    };
    w.restart();
    ASSERT_TRUE(w.wait_until([&] {
        return w.all_engines_ready();
    }));
    auto& first = w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return first.ended;
    }));
    held = 0;
    w.engine(0).set({.crashed = true});
    EXPECT_TRUE(await(
        w.loop,
        [&] {
            return held > 0;
        },
        5 * kSecondMicros));
    w.engine(0).set({});
    ASSERT_TRUE(w.wait_until([&] {
        return w.all_engines_ready();
    }));
    auto& second = w.submit("SELECT 1 /* gt: work_ms=5 */");
    EXPECT_TRUE(w.wait_until([&] {
        return second.ended;
    }));
    EXPECT_EQ(held, 1) << "the engine was polled repeatedly";
    w.expect_no_violations();
}

// The process of an engine that was temporarily missing from the list may also have been replaced. It is
// polled immediately, not at the next periodic poll.
TEST(FrontEndpoints, PollsEngineThatReturnsToListBeforeSendingMore) {
    FrontTestBed w(2, "roster+: { watch_every: '60s' }");
    std::vector<EndpointState> told;  // states of the second engine
    w.drop_event = [&](const Event& e) {
        if (const auto* change = std::get_if<EndpointUpdate>(&e))
            for (const Endpoint& entry : change->endpoints)
                if (entry.id == 2)
                    told.push_back(entry.state);
        return false;
    };
    w.restart();
    ASSERT_TRUE(w.wait_until([&] {
        return w.all_engines_ready();
    }));
    auto without = w.settings;
    without.engines.pop_back();
    w.front().reload(without);
    told.clear();
    w.front().reload(w.settings);
    ASSERT_TRUE(w.wait_until([&] {
        return !told.empty() && told.back() == EndpointState::ready;
    }));
    EXPECT_EQ(told.front(), EndpointState::draining);
    EXPECT_GT(w.front().engines().all().at(2)->state_tracker.endpoint().started_at, 0)
        << "the uptime of the engine is unknown";
}

TEST(FrontEndpoints, UsesCachedListAfterRestartWhileSourceIsUnavailable) {
    const std::string kept = ::testing::TempDir() + "kept-" + std::to_string(::getpid()) + ".json";
    FrontTestBed w(1, "engines: { gone: g.engine('127.0.0.1:1') }, roster+: { keep: '" + kept + "' }");
    // The configured engine does not exist; the engine in the list does.
    const std::string engine = w.address(0).text();
    bool down = false;
    http::Server list(w.loop, {}, [&](http::Request&, http::Server::Reply reply) {
        if (down)
            return reply.send({503, {}, ""});
        reply.send(
            {200, {}, "{\"engines\": {\"e0\": {\"address\": \"" + engine + "\", \"kind\": \"std\"}}}"});
    });
    w.settings.roster.http = *list.listen(*net::Address::parse("127.0.0.1:0"));
    w.settings.roster.path = "/engines";
    w.restart();
    ClientStatement& first = w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return first.ended;
    }));
    EXPECT_EQ(first.error(), "");
    down = true;
    w.restart();
    for (int i = 0; i < 5; ++i)
        w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return std::all_of(w.submitted.begin(), w.submitted.end(), [](auto& a) {
            return a->ended;
        });
    }));
    for (const auto& a : w.submitted)
        EXPECT_EQ(a->error(), "");
    EXPECT_EQ(w.front().engines().all().size(), 1u);
    w.expect_no_violations();
    ::unlink(kept.c_str());
}

TEST(FrontEndpoints, EnginesStopStatementsOfRestartedFront) {
    FrontTestBed w(1);
    w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */",
               FrontTestBed::headers("long", "orphan"));
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("started", "orphan") == 1;
    }));
    w.http.reset();
    w.restart();
    EXPECT_EQ(w.exchange("GET", "/v1/statement/queued/20260101_000000_00001_abcde/y1/1").response.status,
              404);
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("late", "orphan") + w.count("abandoned", "orphan") == 1;
    }));
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    ClientStatement& a = w.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "");
    w.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
