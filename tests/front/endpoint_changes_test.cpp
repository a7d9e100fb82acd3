// Front and endpoint list: draining, lost connections, engines that return to the list, restarts.
#include "front/front_test_bed.hpp"

namespace gatetiller::testing {
namespace {

TEST(FrontEndpoints, DrainingEngineReceivesNoStatementsAndDrainingFrontFinishesItsOwn) {
    FrontTestBed bed(2);
    ClientStatement& running = bed.submit("SELECT 1 /* gt: work_ms=300 */", "test", "running");
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("started", "running") == 1;
    }));
    bed.engine(0).drain();
    // The front observes it within one status poll interval; the grace of the rule is two seconds.
    ASSERT_TRUE(bed.wait_until([&] {
        for (const auto& [id, engine] : bed.front().engines().all())
            if (engine->settings.name == "e0" &&
                engine->state_tracker.endpoint().state == EndpointState::draining)
                return true;
        return false;
    }));
    const auto entries_before = bed.journal.size();
    for (int i = 0; i < 10; ++i)
        bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return std::all_of(bed.submitted.begin(), bed.submitted.end(), [](auto& submission) {
            return submission->ended;
        });
    }));
    for (const auto& submission : bed.submitted)
        EXPECT_EQ(submission->error(), "");
    EXPECT_EQ(bed.engine(0).running(), 0u);
    EXPECT_GT(bed.journal.size(), entries_before);
    EXPECT_TRUE(running.ended);
    ClientStatement& last = bed.submit("SELECT 1 /* gt: work_ms=200 */", "test", "last");
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("started", "last") == 1;
    }));
    EXPECT_EQ(bed.exchange("PUT", "/v1/info/state", "\"SHUTTING_DOWN\"").response.status, 200);
    EXPECT_EQ(bed.exchange("GET", "/v1/info/state").response.body, "\"SHUTTING_DOWN\"");
    const auto rejected = bed.exchange("POST", "/v1/statement", "SELECT 1");
    EXPECT_EQ(rejected.response.status, 503);
    EXPECT_TRUE(rejected.response.headers.find("Retry-After"));
    ASSERT_TRUE(bed.wait_until([&] {
        return last.ended;
    }));
    EXPECT_EQ(last.error(), "");
    bed.expect_no_violations();
}

// When all connections of an engine close at once, its process may have been replaced by one that is not
// warmed up. Waiting for the next periodic poll would be too late.
TEST(FrontEndpoints, PollsEngineThatLostAllConnectionsBeforeSendingMore) {
    FrontTestBed bed(1, "roster+: { watch_every: '60s' }");
    int draining_updates = 0;
    bed.drop_event = [&](const Event& event) {
        const auto* update = std::get_if<EndpointUpdate>(&event);
        draining_updates +=
            update && !update->endpoints.empty() && update->endpoints[0].state == EndpointState::draining;
        return false;
    };
    bed.restart();
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.all_engines_ready();
    }));
    auto& first = bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return first.ended;
    }));
    draining_updates = 0;
    bed.engine(0).set({.crashed = true});
    EXPECT_TRUE(await(
        bed.loop,
        [&] {
            return draining_updates > 0;
        },
        5 * kSecondMicros));
    bed.engine(0).set({});
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.all_engines_ready();
    }));
    auto& second = bed.submit("SELECT 1 /* gt: work_ms=5 */");
    EXPECT_TRUE(bed.wait_until([&] {
        return second.ended;
    }));
    EXPECT_EQ(draining_updates, 1) << "the engine was polled repeatedly";
    bed.expect_no_violations();
}

// The process of an engine that was temporarily missing from the list may also have been replaced. It is
// polled immediately, not at the next periodic poll.
TEST(FrontEndpoints, PollsEngineThatReturnsToListBeforeSendingMore) {
    FrontTestBed bed(2, "roster+: { watch_every: '60s' }");
    std::vector<EndpointState> reported_states;  // states of the second engine
    bed.drop_event = [&](const Event& event) {
        if (const auto* update = std::get_if<EndpointUpdate>(&event))
            for (const Endpoint& endpoint : update->endpoints)
                if (endpoint.id == 2)
                    reported_states.push_back(endpoint.state);
        return false;
    };
    bed.restart();
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.all_engines_ready();
    }));
    auto settings_without_second = bed.settings;
    settings_without_second.engines.pop_back();
    bed.front().reload(settings_without_second);
    reported_states.clear();
    bed.front().reload(bed.settings);
    ASSERT_TRUE(bed.wait_until([&] {
        return !reported_states.empty() && reported_states.back() == EndpointState::ready;
    }));
    EXPECT_EQ(reported_states.front(), EndpointState::draining);
    EXPECT_GT(bed.front().engines().all().at(2)->state_tracker.endpoint().started_at, 0)
        << "the uptime of the engine is unknown";
}

TEST(FrontEndpoints, UsesCachedListAfterRestartWhileSourceIsUnavailable) {
    const std::string cache_file =
        ::testing::TempDir() + "endpoint-cache-" + std::to_string(::getpid()) + ".json";
    FrontTestBed bed(1,
                     "engines: { gone: g.engine('127.0.0.1:1') }, roster+: { keep: '" + cache_file + "' }");
    // The configured engine does not exist; the engine in the list does.
    const std::string engine = bed.address(0).text();
    bool source_unavailable = false;
    http::Server list(bed.loop, {}, [&](http::Request&, http::Server::Reply reply) {
        if (source_unavailable)
            return reply.send({503, {}, ""});
        reply.send(
            {200, {}, "{\"engines\": {\"e0\": {\"address\": \"" + engine + "\", \"kind\": \"std\"}}}"});
    });
    bed.settings.roster.http = *list.listen(*net::Address::parse("127.0.0.1:0"));
    bed.settings.roster.path = "/engines";
    bed.restart();
    ClientStatement& first = bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return first.ended;
    }));
    EXPECT_EQ(first.error(), "");
    source_unavailable = true;
    bed.restart();
    for (int i = 0; i < 5; ++i)
        bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return std::all_of(bed.submitted.begin(), bed.submitted.end(), [](auto& submission) {
            return submission->ended;
        });
    }));
    for (const auto& submission : bed.submitted)
        EXPECT_EQ(submission->error(), "");
    EXPECT_EQ(bed.front().engines().all().size(), 1u);
    bed.expect_no_violations();
    ::unlink(cache_file.c_str());
}

TEST(FrontEndpoints, EnginesStopStatementsOfRestartedFront) {
    FrontTestBed bed(1);
    bed.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */",
                 FrontTestBed::headers("long", "orphan"));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("started", "orphan") == 1;
    }));
    bed.http.reset();
    bed.restart();
    EXPECT_EQ(bed.exchange("GET", "/v1/statement/queued/20260101_000000_00001_abcde/y1/1").response.status,
              404);
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("late", "orphan") + bed.count("abandoned", "orphan") == 1;
    }));
    EXPECT_EQ(bed.engine(0).machine().jobs(), 0u);
    ClientStatement& submission = bed.submit("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended;
    }));
    EXPECT_EQ(submission.error(), "");
    bed.expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
