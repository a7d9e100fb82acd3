// Front and clients: polls, pages, cancellation, limits and wall clock steps.
#include <set>

#include "front/front_test_bed.hpp"
#include "statement/json.hpp"

namespace gatetiller::testing {
namespace {

std::string row(const std::string& sql, std::size_t i, const std::string& pad = "") {
    return "[" + std::to_string(i) + ",\"" + engine::row_of(sql, i) + pad + "\"]";
}

TEST(FrontClients, ReturnsRowsOfStatementOnceFromOneEngine) {
    FrontTestBed w(3);
    const std::string sql = "SELECT 1 /* gt: work_ms=20 rows=2 */";
    ClientStatement& a = w.submit(sql, "test", "t1");
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    EXPECT_EQ(a.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(a.error(), "");
    ASSERT_EQ(a.pages.size(), 1u);
    EXPECT_EQ(a.pages[0], "[" + row(sql, 0) + "," + row(sql, 1) + "]");
    EXPECT_EQ(a.final_documents, 1);
    EXPECT_EQ(w.count("started", "t1"), 1);
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0;
    }));
    ASSERT_EQ(w.finished.size(), 1u);
    EXPECT_EQ(w.finished[0].outcome, front::StatementOutcome::served);
    w.expect_no_violations();
}

TEST(FrontClients, AbandonsStatementAndStopsItsWorkAfterClientStopsPolling) {
    FrontTestBed w(1);
    w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */",
               FrontTestBed::headers("long", "gone"));
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("started", "gone") == 1;
    }));
    ASSERT_TRUE(w.wait_until([&] {
        return w.count("cancelled", "gone") == 1;
    }));
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0;
    }));
    EXPECT_EQ(w.finished.at(0).outcome, front::StatementOutcome::abandoned);
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    w.expect_no_violations();
}

TEST(FrontClients, RepeatedPollReturnsSameDocument) {
    FrontTestBed w(1);
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
    w.expect_no_violations();
}

TEST(FrontClients, DeleteConcurrentWithLastPollEndsStatementOnce) {
    FrontTestBed w(1);
    for (int i = 0; i < 20; ++i) {
        const std::string trace = "race" + std::to_string(i);
        const auto first =
            w.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=" + std::to_string(i % 5) + " */",
                       FrontTestBed::headers("test", trace));
        const auto next = statement::read_document(first.response.body)->next_uri;
        const std::string path = next.substr(next.find("/v1/"));
        int answers = 0;
        const auto count = [&](const http::Answer&) {
            ++answers;
        };
        auto poll = w.http->send({"GET", path, 1, {}, {}, {}}, FrontTestBed::kLimit, count);
        auto del = w.http->send({"DELETE", path, 1, {}, {}, {}}, FrontTestBed::kLimit, count);
        ASSERT_TRUE(w.wait_until([&] {
            return answers == 2;
        }));
    }
    ASSERT_TRUE(w.wait_until([&] {
        return w.front().statements() == 0 && w.engine(0).machine().jobs() == 0;
    }));
    EXPECT_EQ(w.finished.size(), 20u);
    EXPECT_EQ(w.engine(0).machine().jobs(), 0u);
    w.expect_no_violations();
}

TEST(FrontClients, BoundsBufferedBytesOfLargeResultForSlowClient) {
    FrontTestBed w(1, "limits+: { rows_ahead: '256KiB' }");
    // The result has 50 MB in pages of 1 MiB. The client fetches one page at a time and checks after each how
    // many bytes the front has buffered.
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
    w.expect_no_violations();
}

TEST(FrontClients, AcceptsStatementOfOneMebibyteAndRejectsLargerOne) {
    FrontTestBed w(1);
    std::string sql = "SELECT 1 /* gt: rows=1 */ -- ";
    sql.resize(1 << 20, 'x');
    ClientStatement& a = w.submit(sql);
    ASSERT_TRUE(w.wait_until([&] {
        return a.ended;
    }));
    ASSERT_EQ(a.pages.size(), 1u);
    EXPECT_EQ(a.pages[0], "[" + row(sql, 0) + "]");
    ClientStatement& b = w.submit(sql + "x");
    ASSERT_TRUE(w.wait_until([&] {
        return b.ended;
    }));
    EXPECT_EQ(b.result.status, 413);
    w.expect_no_violations();
}

TEST(FrontClients, WallClockStepsDoNotAffectStatements) {
    FrontTestBed w(1);
    ClientStatement& before = w.submit("SELECT 1 /* gt: work_ms=200 */");
    ASSERT_TRUE(w.wait_until([&] {
        return before.accepted;
    }));
    std::vector<std::string> ids;
    for (const Micros step : {-7200 * kSecondMicros, 0 * kSecondMicros, 86400 * kSecondMicros}) {
        w.clock.step = step;
        ids.push_back(statement::read_document(
                          w.exchange("POST", "/v1/statement", "SELECT 1",
                                     FrontTestBed::headers("test", "step" + std::to_string(ids.size())))
                              .response.body)
                          ->id);
    }
    EXPECT_NE(ids[0].substr(0, 15), ids[2].substr(0, 15));
    EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), 3u);
    ASSERT_TRUE(w.wait_until([&] {
        return before.ended;
    }));
    EXPECT_EQ(before.error(), "");
    EXPECT_EQ(before.final_documents, 1);
    w.expect_no_violations();
}

TEST(FrontClients, ServesPrestoClientWithPrestoHeadersAndEngineSessionHeaders) {
    // A hand-written engine that sends two documents, with one response header that a front forwards and one
    // that it does not.
    FrontTestBed w(0, "engines: { e0: g.engine('127.0.0.1:1') }");
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
    // The query information is available to the statement's own user only.
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

}  // namespace
}  // namespace gatetiller::testing
