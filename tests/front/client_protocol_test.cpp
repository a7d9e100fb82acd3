// Front and clients: polls, pages, cancellation, limits and wall clock steps.
#include <set>

#include "front/front_test_bed.hpp"
#include "statement/json.hpp"

namespace gatetiller::testing {
namespace {

std::string row(const std::string& sql, std::size_t index, const std::string& padding = "") {
    return "[" + std::to_string(index) + ",\"" + engine::row_of(sql, index) + padding + "\"]";
}

TEST(FrontClients, ReturnsRowsOfStatementOnceFromOneEngine) {
    FrontTestBed bed(3);
    const std::string sql = "SELECT 1 /* gt: work_ms=20 rows=2 */";
    ClientStatement& submission = bed.submit(sql, "test", "t1");
    ASSERT_TRUE(bed.wait_until([&] {
        return submission.ended;
    }));
    EXPECT_EQ(submission.result.how, statement::ClientResult::How::answered);
    EXPECT_EQ(submission.error(), "");
    ASSERT_EQ(submission.pages.size(), 1u);
    EXPECT_EQ(submission.pages[0], "[" + row(sql, 0) + "," + row(sql, 1) + "]");
    EXPECT_EQ(submission.final_documents, 1);
    EXPECT_EQ(bed.count("started", "t1"), 1);
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0;
    }));
    ASSERT_EQ(bed.finished.size(), 1u);
    EXPECT_EQ(bed.finished[0].outcome, front::StatementOutcome::served);
    bed.expect_no_violations();
}

TEST(FrontClients, AbandonsStatementAndStopsItsWorkAfterClientStopsPolling) {
    FrontTestBed bed(1);
    bed.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=60000 */",
                 FrontTestBed::headers("long", "gone"));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("started", "gone") == 1;
    }));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("cancelled", "gone") == 1;
    }));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0;
    }));
    EXPECT_EQ(bed.finished.at(0).outcome, front::StatementOutcome::abandoned);
    EXPECT_EQ(bed.engine(0).machine().jobs(), 0u);
    bed.expect_no_violations();
}

TEST(FrontClients, RepeatedPollReturnsSameDocument) {
    FrontTestBed bed(1);
    const auto first = bed.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=5 rows=3 */");
    const auto first_document = *statement::read_document(first.response.body);
    const std::string path = first_document.next_uri.substr(first_document.next_uri.find("/v1/"));
    std::string final_body;
    std::string current = path, previous;
    for (int i = 0; i < 50 && final_body.empty(); ++i) {
        const auto once = bed.exchange("GET", current), twice = bed.exchange("GET", current);
        ASSERT_EQ(once.response.status, 200);
        EXPECT_EQ(once.response.body, twice.response.body);
        if (!previous.empty()) {
            EXPECT_EQ(bed.exchange("GET", previous).response.status, 410);
        }
        const auto document = *statement::read_document(once.response.body);
        previous = current;
        if (document.final())
            final_body = once.response.body;
        else
            current = document.next_uri.substr(document.next_uri.find("/v1/"));
    }
    EXPECT_NE(final_body.find("\"data\""), std::string::npos);
    std::string forged = current;
    forged[forged.size() - 4] ^= 1;  // in the slug
    EXPECT_EQ(bed.exchange("GET", forged).response.status, 404);
    bed.expect_no_violations();
}

TEST(FrontClients, PollWithAnUnreadableTokenFindsNoDocument) {
    FrontTestBed bed(1);
    const auto first = bed.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=5 rows=3 */");
    const auto document = *statement::read_document(first.response.body);
    const std::string path = document.next_uri.substr(document.next_uri.find("/v1/"));
    const std::string base = path.substr(0, path.rfind('/') + 1);
    for (const char* token : {"", "x", "1x", "-1", "+1", "1.0", "0x1", "99", "18446744073709551615",
                              "99999999999999999999", "1/2"})
        EXPECT_EQ(bed.exchange("GET", base + token).response.status, 404) << token;
    EXPECT_EQ(bed.exchange("GET", path).response.status, 200);
}

TEST(FrontClients, DeleteConcurrentWithLastPollEndsStatementOnce) {
    FrontTestBed bed(1);
    for (int i = 0; i < 20; ++i) {
        const std::string trace = "race" + std::to_string(i);
        const auto first =
            bed.exchange("POST", "/v1/statement", "SELECT 1 /* gt: work_ms=" + std::to_string(i % 5) + " */",
                         FrontTestBed::headers("test", trace));
        const auto next = statement::read_document(first.response.body)->next_uri;
        const std::string path = next.substr(next.find("/v1/"));
        int responses = 0;
        const auto count_response = [&](const http::Answer&) {
            ++responses;
        };
        auto poll = bed.http->send({"GET", path, 1, {}, {}, {}}, FrontTestBed::kLimit, count_response);
        auto cancellation =
            bed.http->send({"DELETE", path, 1, {}, {}, {}}, FrontTestBed::kLimit, count_response);
        ASSERT_TRUE(bed.wait_until([&] {
            return responses == 2;
        }));
    }
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.front().statements() == 0 && bed.engine(0).machine().jobs() == 0;
    }));
    EXPECT_EQ(bed.finished.size(), 20u);
    EXPECT_EQ(bed.engine(0).machine().jobs(), 0u);
    bed.expect_no_violations();
}

TEST(FrontClients, BoundsBufferedBytesOfLargeResultForSlowClient) {
    FrontTestBed bed(1, "limits+: { rows_ahead: '256KiB' }");
    // The result has 50 MB in pages of 1 MiB. The client fetches one page at a time and checks after each how
    // many bytes the front has buffered.
    const std::string sql = "SELECT 1 /* gt: work_ms=5 rows=500000 row_bytes=100 */";
    const auto first = bed.exchange("POST", "/v1/statement", sql);
    std::string next = statement::read_document(first.response.body)->next_uri;
    std::size_t rows = 0, bytes = 0;
    while (!next.empty()) {
        const auto page = bed.exchange("GET", next.substr(next.find("/v1/")));
        ASSERT_EQ(page.response.status, 200);
        const auto document = *statement::read_document(page.response.body);
        ASSERT_FALSE(document.error) << document.error->message;
        rows += statement::array_length(document.data.empty() ? "[]" : document.data);
        bytes += page.response.body.size();
        next = document.next_uri;
        const auto status = bed.exchange("GET", "/v1/status").response.body;
        const std::size_t at = status.find("\"waitingBytes\":");
        ASSERT_NE(at, std::string::npos);
        EXPECT_LT(std::strtoull(status.c_str() + at + 15, nullptr, 10), 3u << 20);
    }
    EXPECT_EQ(rows, 500000u);
    EXPECT_GT(bytes, 50u << 20);
    bed.expect_no_violations();
}

TEST(FrontClients, AcceptsStatementOfOneMebibyteAndRejectsLargerOne) {
    FrontTestBed bed(1);
    std::string sql = "SELECT 1 /* gt: rows=1 */ -- ";
    sql.resize(1 << 20, 'x');
    ClientStatement& accepted = bed.submit(sql);
    ASSERT_TRUE(bed.wait_until([&] {
        return accepted.ended;
    }));
    ASSERT_EQ(accepted.pages.size(), 1u);
    EXPECT_EQ(accepted.pages[0], "[" + row(sql, 0) + "]");
    ClientStatement& rejected = bed.submit(sql + "x");
    ASSERT_TRUE(bed.wait_until([&] {
        return rejected.ended;
    }));
    EXPECT_EQ(rejected.result.status, 413);
    bed.expect_no_violations();
}

TEST(FrontClients, WallClockStepsDoNotAffectStatements) {
    FrontTestBed bed(1);
    ClientStatement& before = bed.submit("SELECT 1 /* gt: work_ms=200 */");
    ASSERT_TRUE(bed.wait_until([&] {
        return before.accepted;
    }));
    std::vector<std::string> ids;
    for (const Micros step : {-7200 * kSecondMicros, 0 * kSecondMicros, 86400 * kSecondMicros}) {
        bed.clock.step = step;
        ids.push_back(statement::read_document(
                          bed.exchange("POST", "/v1/statement", "SELECT 1",
                                       FrontTestBed::headers("test", "step" + std::to_string(ids.size())))
                              .response.body)
                          ->id);
    }
    EXPECT_NE(ids[0].substr(0, 15), ids[2].substr(0, 15));
    EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), 3u);
    ASSERT_TRUE(bed.wait_until([&] {
        return before.ended;
    }));
    EXPECT_EQ(before.error(), "");
    EXPECT_EQ(before.final_documents, 1);
    bed.expect_no_violations();
}

TEST(FrontClients, ServesPrestoClientWithPrestoHeadersAndEngineSessionHeaders) {
    // A hand-written engine that sends two documents, with one response header that a front forwards and one
    // that it does not.
    FrontTestBed bed(0, "engines: { e0: g.engine('127.0.0.1:1') }");
    std::vector<http::Request> engine_requests;
    net::Address engine_address;
    http::Server engine(bed.loop, {}, [&](http::Request& request, http::Server::Reply reply) {
        engine_requests.push_back(request);
        const bool last_poll = request.target == "/v1/statement/executing/q/s/1";
        auto response = statement::json_response(
            200,
            last_poll
                ? R"({"id":"q","columns":[{"name":"a"}],"data":[[1]],"stats":{"state":"FINISHED"}})"
                : R"({"id":"q","nextUri":"http://elsewhere:1/v1/statement/executing/q/s/1","stats":{"state":"QUEUED"}})");
        response.headers.add("X-Presto-Set-Session", "a=b");
        response.headers.add("X-Presto-Internal", "no");
        if (!request.target.starts_with("/v1/statement"))
            response = statement::text_response(404, "");
        reply.send(response);
    });
    engine_address = *engine.listen(*net::Address::parse("127.0.0.1:0"));
    bed.settings.engines[0].address = engine_address;
    bed.restart();
    http::Headers headers;
    headers.add("X-Presto-User", "old"), headers.add("X-Presto-Session", "mine=1"),
        headers.add("X-Presto-Client-Info", "v0");
    const auto first = bed.exchange("POST", "/v1/statement", "SELECT 1", headers);
    ASSERT_EQ(first.response.status, 200);
    const auto next_uri = statement::read_document(first.response.body)->next_uri;
    const auto last_poll = bed.exchange("GET", next_uri.substr(next_uri.find("/v1/")), "", headers);
    EXPECT_NE(last_poll.response.body.find("[[1]]"), std::string::npos);
    EXPECT_EQ(last_poll.response.headers.find("X-Presto-Set-Session"), "a=b");
    EXPECT_FALSE(last_poll.response.headers.find("X-Presto-Internal"));
    const auto post = std::find_if(engine_requests.begin(), engine_requests.end(), [](const auto& request) {
        return request.method == "POST";
    });
    ASSERT_NE(post, engine_requests.end());
    EXPECT_EQ(post->headers.find("X-Presto-Client-Info"), "v0");
    EXPECT_NE(post->headers.find("X-Presto-Session")->find("mine=1"), std::string_view::npos);
    EXPECT_NE(post->headers.find("X-Presto-Session")->find("query_max_run_time="), std::string_view::npos);
    // The query information is available to the statement's own user only.
    const auto id = statement::read_document(first.response.body)->id;
    EXPECT_NE(bed.exchange("GET", "/v1/query/" + id, "", headers).response.body.find("\"FINISHED\""),
              std::string::npos);
    EXPECT_EQ(bed.exchange("DELETE", "/v1/query/" + id).response.status, 403);
    EXPECT_NE(bed.exchange("GET", "/v1/info").response.body.find("\"starting\":false"), std::string::npos);
    EXPECT_NE(
        bed.exchange("GET", "/metrics")
            .response.body.find("gatetiller_statements_finished_total{class=\"short\",ended=\"served\"} 1"),
        std::string::npos);
}

}  // namespace
}  // namespace gatetiller::testing
