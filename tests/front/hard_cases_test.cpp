// The hard cases of a polled front, each over real sockets with the fault that it is about.
#include <set>

#include "front/whole.hpp"
#include "statement/json.hpp"

namespace gatetiller::testing {
namespace {

using engine::Faults;

std::string row(const std::string& sql, std::size_t i, const std::string& pad = "") {
    return "[" + std::to_string(i) + ",\"" + engine::row_of(sql, i) + pad + "\"]";
}

TEST(HardCases, AStatementGetsItsOwnRowsOnceFromOneEngine) {
    Whole w(3);
    const std::string sql = "SELECT 1 /* gt: work_ms=20 rows=2 */";
    Asked& a = w.ask(sql, "test", "t1");
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(a.error(), "");
    ASSERT_EQ(a.pages.size(), 1u);
    EXPECT_EQ(a.pages[0], "[" + row(sql, 0) + "," + row(sql, 1) + "]");
    EXPECT_EQ(a.finals, 1);
    EXPECT_EQ(w.count("started", "t1"), 1);
    ASSERT_TRUE(w.until([&] {
        return w.front().statements() == 0;
    }));
    ASSERT_EQ(w.finished.size(), 1u);
    EXPECT_EQ(w.finished[0].outcome, front::StatementOutcome::served);
    w.expect_rules_kept();
}

TEST(HardCases, AClientThatStopsPollingIsAbandonedAndItsWorkStops) {
    Whole w(1);
    w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */", Whole::headers("long", "gone"));
    ASSERT_TRUE(w.until([&] {
        return w.count("started", "gone") == 1;
    }));
    ASSERT_TRUE(w.until([&] {
        return w.count("cancelled", "gone") == 1;
    }));
    ASSERT_TRUE(w.until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(w.finished.at(0).outcome, front::StatementOutcome::abandoned);
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    w.expect_rules_kept();
}

TEST(HardCases, AnEngineThatAnswersAfterTheFrontRefusedChangesNothing) {
    Whole w(1);
    w.engine(0).set({.hang = true});
    Asked& a = w.ask("SELECT 1 /* gt: work_ms=10 */", "test", "late");
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(a.error(), "QUERY_QUEUE_FULL");  // repeatable: a refusal is harmless
    w.engine(0).set({});
    ASSERT_TRUE(w.until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(a.finals, 1);
    EXPECT_TRUE(a.pages.empty());
    w.expect_rules_kept();
}

TEST(HardCases, ALostPollIsAskedAgainAndGetsTheSameDocument) {
    Whole w(1);
    const auto first = w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=5 rows=3 */");
    const auto d0 = *statement::read_document(first.response.body);
    const std::string path = d0.next_uri.substr(d0.next_uri.find("/v1/"));
    std::string final;
    std::string now = path, before;
    for (int i = 0; i < 50 && final.empty(); ++i) {
        const auto once = w.exchange("GET", now), twice = w.exchange("GET", now);
        ASSERT_EQ(once.response.status, 200);
        EXPECT_EQ(once.response.body, twice.response.body);
        if (!before.empty()) {
            EXPECT_EQ(w.exchange("GET", before).response.status, 410);
        }
        const auto d = *statement::read_document(once.response.body);
        before = now;
        if (d.final())
            final = once.response.body;
        else
            now = d.next_uri.substr(d.next_uri.find("/v1/"));
    }
    EXPECT_NE(final.find("\"data\""), std::string::npos);
    std::string forged = now;
    forged[forged.size() - 4] ^= 1;  // in the slug
    EXPECT_EQ(w.exchange("GET", forged).response.status, 404);
    w.expect_rules_kept();
}

TEST(HardCases, ADeleteRacingTheLastRowEndsItOnce) {
    Whole w(1);
    for (int i = 0; i < 20; ++i) {
        const std::string trace = "race" + std::to_string(i);
        const auto first =
            w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=" + std::to_string(i % 5) + " */",
                       Whole::headers("test", trace));
        const auto next = statement::read_document(first.response.body)->next_uri;
        const std::string path = next.substr(next.find("/v1/"));
        int answers = 0;
        const auto count = [&](const http::Answer&) {
            ++answers;
        };
        auto poll = w.http->send({"GET", path, 1, {}, {}, {}}, Whole::kLimit, count);
        auto del = w.http->send({"DELETE", path, 1, {}, {}, {}}, Whole::kLimit, count);
        ASSERT_TRUE(w.until([&] {
            return answers == 2;
        }));
    }
    ASSERT_TRUE(w.until([&] {
        return w.front().statements() == 0 && w.engine(0).machine().jobs() == 0;
    }));
    EXPECT_EQ(w.finished.size(), 20u);
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    w.expect_rules_kept();
}

TEST(HardCases, AnEngineThatDiesAfterTheFirstRowEndsTheStatementWithoutAnotherTry) {
    Whole w(2);
    const std::string sql = "SELECT 1 /* gt: work_ms=5 rows=200000 row_bytes=100 */";
    Asked& a = w.ask(sql, "test", "cut");
    ASSERT_TRUE(w.until([&] {
        return !a.pages.empty();
    }));
    for (std::size_t i = 0; i < 2; ++i)
        if (w.engine(i).running() > 0)
            w.engine(i).set({.crashed = true});
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "REMOTE_HOST_GONE");
    EXPECT_EQ(w.count("received", "cut"), 1);
    ASSERT_TRUE(w.until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(w.finished.at(0).outcome, front::StatementOutcome::truncated);
    w.expect_rules_kept();
}

TEST(HardCases, AnUnsafeStatementTurnedAwayIsTriedAgainOneThatMayHaveRunIsNot) {
    {
        Whole w(2);
        w.engine(0).set({.busy = 1});
        for (int i = 0; i < 6; ++i) {
            Asked& a = w.ask("INSERT 1 /* gt: work_ms=5 */", "unsafe", "b" + std::to_string(i));
            ASSERT_TRUE(w.until([&] {
                return a.ended;
            }));
            EXPECT_EQ(a.error(), "");
            EXPECT_EQ(w.count("started", "b" + std::to_string(i)), 1);
        }
        EXPECT_GT(w.count("refused"), 0);
        w.expect_rules_kept();
    }
    Whole w(2);
    for (std::size_t i = 0; i < 2; ++i)
        w.engine(i).set({.reset_before = 1});
    Asked& a = w.ask("INSERT 1 /* gt: work_ms=5 */", "unsafe", "r");
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "REMOTE_HOST_GONE");  // a failure, not a refusal: it may have run
    EXPECT_EQ(w.finished.at(0).attempts, 1);
    w.expect_rules_kept();
}

TEST(HardCases, AKeyedStatementWithALostAnswerIsSentAgainAndRunsOnce) {
    engine::MachineSettings m;
    m.key_window = 20 * kSecondMicros;
    Whole w(1, "facts+: { note_period: '0ms' }", m);
    w.engine(0).set({.reset_before = 0.5});
    for (int i = 0; i < 10; ++i) {
        const std::string trace = "k" + std::to_string(i);
        Asked& a = w.ask("INSERT 1 /* gt: work_ms=5 */", "keyed", trace, "key=" + trace);
        ASSERT_TRUE(w.until([&] {
            return a.ended;
        }));
        EXPECT_LE(w.count("started", trace), 1);
    }
    w.expect_rules_kept();
}

TEST(HardCases, ADrainingEngineGetsNothingNewAndAFrontThatDrainsEndsWhatItHas) {
    Whole w(2);
    Asked& running = w.ask("SELECT 1 /* gt: work_ms=300 */", "test", "running");
    ASSERT_TRUE(w.until([&] {
        return w.count("started", "running") == 1;
    }));
    w.engine(0).drain();
    // Told within a period of watching; the rule's grace is two seconds.
    ASSERT_TRUE(w.until([&] {
        for (const auto& [id, e] : w.front().engines().all())
            if (e->settings.name == "e0" && e->state_tracker.endpoint().state == EndpointState::draining)
                return true;
        return false;
    }));
    const auto before = w.journal.size();
    for (int i = 0; i < 10; ++i)
        w.ask("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.until([&] {
        return std::all_of(w.asked.begin(), w.asked.end(), [](auto& a) {
            return a->ended;
        });
    }));
    for (const auto& a : w.asked)
        EXPECT_EQ(a->error(), "");
    EXPECT_EQ(w.engine(0).running(), 0u);
    EXPECT_GT(w.journal.size(), before);
    EXPECT_TRUE(running.ended);
    Asked& last = w.ask("SELECT 1 /* gt: work_ms=200 */", "test", "last");
    ASSERT_TRUE(w.until([&] {
        return w.count("started", "last") == 1;
    }));
    EXPECT_EQ(w.exchange("PUT", "/v1/info/state", "\"SHUTTING_DOWN\"").response.status, 200);
    EXPECT_EQ(w.exchange("GET", "/v1/info/state").response.body, "\"SHUTTING_DOWN\"");
    const auto turned = w.exchange("POST", "/v1/statement", "SELECT 1");
    EXPECT_EQ(turned.response.status, 503);
    EXPECT_TRUE(turned.response.headers.find("Retry-After"));
    ASSERT_TRUE(w.until([&] {
        return last.ended;
    }));
    EXPECT_EQ(last.error(), "");
    w.expect_rules_kept();
}

// All its connections end at once: its process may be another, and a cold one. With no such word the next
// look at it would come too late.
TEST(HardCases, AnEngineWhoseConnectionsAllEndedIsAskedBeforeItGetsMore) {
    Whole w(1, "roster+: { watch_every: '60s' }");
    int held = 0;
    w.drop_event = [&](const Event& e) {
        const auto* change = std::get_if<EndpointUpdate>(&e);
        held += change && !change->endpoints.empty() && change->endpoints[0].state == EndpointState::draining;
        return false;
    };
    w.restart();
    ASSERT_TRUE(w.until([&] {
        return w.all_engines_on();
    }));
    auto& first = w.ask("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.until([&] {
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
    ASSERT_TRUE(w.until([&] {
        return w.all_engines_on();
    }));
    auto& second = w.ask("SELECT 1 /* gt: work_ms=5 */");
    EXPECT_TRUE(w.until([&] {
        return second.ended;
    }));
    EXPECT_EQ(held, 1) << "asked without end";
    w.expect_rules_kept();
}

// So may be that of one that the list lacked for a while; and it is asked at once, not by the next periodic
// look.
TEST(HardCases, AnEngineThatReturnsToTheListIsAskedBeforeItGetsMore) {
    Whole w(2, "roster+: { watch_every: '60s' }");
    std::vector<EndpointState> told;  // of the second engine
    w.drop_event = [&](const Event& e) {
        if (const auto* change = std::get_if<EndpointUpdate>(&e))
            for (const Endpoint& entry : change->endpoints)
                if (entry.id == 2)
                    told.push_back(entry.state);
        return false;
    };
    w.restart();
    ASSERT_TRUE(w.until([&] {
        return w.all_engines_on();
    }));
    auto without = w.settings;
    without.engines.pop_back();
    w.front().reload(without);
    told.clear();
    w.front().reload(w.settings);
    ASSERT_TRUE(w.until([&] {
        return !told.empty() && told.back() == EndpointState::ready;
    }));
    EXPECT_EQ(told.front(), EndpointState::draining);
    EXPECT_GT(w.front().engines().all().at(2)->state_tracker.endpoint().started_at, 0)
        << "its uptime is not known";
}

TEST(HardCases, ALargeResultToASlowReaderIsHeldInBoundedPieces) {
    Whole w(1, "limits+: { rows_ahead: '256KiB' }");
    // 50 MB in pages of 1 MiB; the reader takes one page at a time and looks at what the front holds
    // meanwhile.
    const std::string sql = "SELECT 1 /* gt: work_ms=5 rows=500000 row_bytes=100 */";
    const auto first = w.exchange("POST", "/v1/statement", sql);
    std::string next = statement::read_document(first.response.body)->next_uri;
    std::size_t rows = 0, bytes = 0;
    while (!next.empty()) {
        const auto page = w.exchange("GET", next.substr(next.find("/v1/")));
        ASSERT_EQ(page.response.status, 200);
        const auto d = *statement::read_document(page.response.body);
        ASSERT_FALSE(d.error) << d.error->message;
        rows += statement::array_length(d.data.empty() ? "[]" : d.data);
        bytes += page.response.body.size();
        next = d.next_uri;
        const auto status = w.exchange("GET", "/v1/status").response.body;
        const std::size_t at = status.find("\"waitingBytes\":");
        ASSERT_NE(at, std::string::npos);
        EXPECT_LT(std::strtoull(status.c_str() + at + 15, nullptr, 10), 3u << 20);
    }
    EXPECT_EQ(rows, 500000u);
    EXPECT_GT(bytes, 50u << 20);
    w.expect_rules_kept();
}

TEST(HardCases, AStatementOfOneMebibyteArrivesWholeAndALargerOneIsRefused) {
    Whole w(1);
    std::string sql = "SELECT 1 /* gt: rows=1 */ -- ";
    sql.resize(1 << 20, 'x');
    Asked& a = w.ask(sql);
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    ASSERT_EQ(a.pages.size(), 1u);
    EXPECT_EQ(a.pages[0], "[" + row(sql, 0) + "]");
    Asked& b = w.ask(sql + "x");
    ASSERT_TRUE(w.until([&] {
        return b.ended;
    }));
    EXPECT_EQ(b.result.status, 413);
    w.expect_rules_kept();
}

TEST(HardCases, AnEngineThatTricklesOrBreaksOffItsAnswersHoldsNobodyUpForGood) {
    Whole w(3, "rules+: { warm_up: '10ms' }, times+: { engine_answer: '400ms' }");
    w.engine(0).set({.trickle = 1});
    w.engine(1).set({.cut = 0.3});
    for (int i = 0; i < 40; ++i)
        w.ask("SELECT 1 /* gt: work_ms=5 rows=20 */", "long");
    ASSERT_TRUE(w.until([&] {
        return std::all_of(w.asked.begin(), w.asked.end(), [](auto& a) {
            return a->ended;
        });
    }));
    int served = 0;
    for (const auto& a : w.asked) {
        EXPECT_EQ(a->finals, 1);
        served += a->error().empty();
        if (a->error().empty()) {
            ASSERT_EQ(a->pages.size(), 1u);
            EXPECT_EQ(statement::array_length(a->pages[0]), 20u);
        }
    }
    EXPECT_GT(served, 20);
    w.expect_rules_kept();
}

TEST(HardCases, AWallClockThatStepsBackOrForthChangesNothing) {
    Whole w(1);
    Asked& before = w.ask("SELECT 1 /* gt: work_ms=200 */");
    ASSERT_TRUE(w.until([&] {
        return before.taken;
    }));
    std::vector<std::string> ids;
    for (const Micros step : {-7200 * kSecondMicros, 0 * kSecondMicros, 86400 * kSecondMicros}) {
        w.clock.step = step;
        ids.push_back(
            statement::read_document(w.exchange("POST", "/v1/statement", "SELECT 1",
                                                Whole::headers("test", "step" + std::to_string(ids.size())))
                                         .response.body)
                ->id);
    }
    EXPECT_NE(ids[0].substr(0, 15), ids[2].substr(0, 15));
    EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), 3u);
    ASSERT_TRUE(w.until([&] {
        return before.ended;
    }));
    EXPECT_EQ(before.error(), "");
    EXPECT_EQ(before.finals, 1);
    w.expect_rules_kept();
}

TEST(HardCases, AFrontThatComesBackWhileTheListIsOutOfReachServesByItsLastOne) {
    const std::string kept = ::testing::TempDir() + "kept-" + std::to_string(::getpid()) + ".json";
    Whole w(1, "engines: { gone: g.engine('127.0.0.1:1') }, roster+: { keep: '" + kept + "' }");
    // The configuration knows an engine that isn't there; the list knows the one that is.
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
    Asked& first = w.ask("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.until([&] {
        return first.ended;
    }));
    EXPECT_EQ(first.error(), "");
    down = true;
    w.restart();
    for (int i = 0; i < 5; ++i)
        w.ask("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.until([&] {
        return std::all_of(w.asked.begin(), w.asked.end(), [](auto& a) {
            return a->ended;
        });
    }));
    for (const auto& a : w.asked)
        EXPECT_EQ(a->error(), "");
    EXPECT_EQ(w.front().engines().all().size(), 1u);
    w.expect_rules_kept();
    ::unlink(kept.c_str());
}

TEST(HardCases, AnOlderClientIsAnsweredInItsFamilyAndAnEnginesSessionHeadersArePassedOn) {
    // An engine written out by hand: two documents, with headers that a gateway passes on and one that it
    // doesn't.
    Whole w(0, "engines: { e0: g.engine('127.0.0.1:1') }");
    std::vector<http::Request> heard;
    net::Address at;
    http::Server engine(w.loop, {}, [&](http::Request& r, http::Server::Reply reply) {
        heard.push_back(r);
        const bool last = r.target == "/v1/statement/executing/q/s/1";
        auto answer = statement::json_response(
            200,
            last
                ? R"({"id":"q","columns":[{"name":"a"}],"data":[[1]],"stats":{"state":"FINISHED"}})"
                : R"({"id":"q","nextUri":"http://elsewhere:1/v1/statement/executing/q/s/1","stats":{"state":"QUEUED"}})");
        answer.headers.add("X-Presto-Set-Session", "a=b");
        answer.headers.add("X-Presto-Internal", "no");
        if (!r.target.starts_with("/v1/statement"))
            answer = statement::text_response(404, "");
        reply.send(answer);
    });
    at = *engine.listen(*net::Address::parse("127.0.0.1:0"));
    w.settings.engines[0].address = at;
    w.restart();
    http::Headers h;
    h.add("X-Presto-User", "old"), h.add("X-Presto-Session", "mine=1"), h.add("X-Presto-Client-Info", "v0");
    const auto first = w.exchange("POST", "/v1/statement", "SELECT 1", h);
    ASSERT_EQ(first.response.status, 200);
    const auto next = statement::read_document(first.response.body)->next_uri;
    const auto last = w.exchange("GET", next.substr(next.find("/v1/")), "", h);
    EXPECT_NE(last.response.body.find("[[1]]"), std::string::npos);
    EXPECT_EQ(last.response.headers.find("X-Presto-Set-Session"), "a=b");
    EXPECT_FALSE(last.response.headers.find("X-Presto-Internal"));
    const auto post = std::find_if(heard.begin(), heard.end(), [](const auto& r) {
        return r.method == "POST";
    });
    ASSERT_NE(post, heard.end());
    EXPECT_EQ(post->headers.find("X-Presto-Client-Info"), "v0");
    EXPECT_NE(post->headers.find("X-Presto-Session")->find("mine=1"), std::string_view::npos);
    EXPECT_NE(post->headers.find("X-Presto-Session")->find("query_max_run_time="), std::string_view::npos);
    // What is known of it, for its own user only.
    const auto id = statement::read_document(first.response.body)->id;
    EXPECT_NE(w.exchange("GET", "/v1/query/" + id, "", h).response.body.find("\"FINISHED\""),
              std::string::npos);
    EXPECT_EQ(w.exchange("DELETE", "/v1/query/" + id).response.status, 403);
    EXPECT_NE(w.exchange("GET", "/v1/info").response.body.find("\"starting\":false"), std::string::npos);
    EXPECT_NE(
        w.exchange("GET", "/metrics")
            .response.body.find("gatetiller_statements_finished_total{class=\"short\",ended=\"served\"} 1"),
        std::string::npos);
}

TEST(HardCases, AFrontThatIsRestartedLeavesItsStatementsToTheirEnginesWhichStopThem) {
    Whole w(1);
    w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */", Whole::headers("long", "orphan"));
    ASSERT_TRUE(w.until([&] {
        return w.count("started", "orphan") == 1;
    }));
    w.http.reset();
    w.restart();
    EXPECT_EQ(w.exchange("GET", "/v1/statement/queued/20260101_000000_00001_abcde/y1/1").response.status,
              404);
    ASSERT_TRUE(w.until([&] {
        return w.count("late", "orphan") + w.count("abandoned", "orphan") == 1;
    }));
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    Asked& a = w.ask("SELECT 1 /* gt: work_ms=5 */");
    ASSERT_TRUE(w.until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.error(), "");
    w.expect_rules_kept();
}

}  // namespace
}  // namespace gatetiller::testing
