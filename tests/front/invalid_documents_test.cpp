// Engines whose documents have members that are missing, unreadable, repeated, out of range or of the wrong
// type.
#include "base/named_parameter.hpp"
#include "front/front_test_bed.hpp"
#include "http/server.hpp"

namespace gatetiller::testing {
namespace {

// An engine of the statement API that answers every statement with two pages, [[1]] and [[2]]. A test
// replaces its documents.
class ScriptedEngine {
public:
    explicit ScriptedEngine(net::Loop& loop)
        : loop_(loop), server_(loop, {}, [this](http::Request& request, http::Server::Reply reply) {
              const bool is_poll = request.method == "GET" && request.target.starts_with("/v1/statement");
              send_after(is_poll ? poll_duration : 0, std::move(reply), answer(request));
          }) {
        address = *server_.listen(*net::Address::parse("127.0.0.1:0"));
    }
    static std::string uri(int page) {
        return "\"http://engine/v1/statement/executing/q/s/" + std::to_string(page) + "\"";
    }
    static std::string document(const std::string& members, const std::string& state = "\"RUNNING\"") {
        return R"({"id":"q","infoUri":"http://engine/q",)" + members + R"("stats":{"state":)" + state + "}}";
    }

    // The documents of one statement: that of the POST, then those of the polls.
    std::vector<std::string> documents = {
        document("\"nextUri\":" + uri(1) + ",", "\"QUEUED\""),
        document("\"nextUri\":" + uri(2) + R"(,"columns":[{"name":"a"}],"data":[[1]],)"),
        document("\"data\":[[2]],", "\"FINISHED\"")};
    // Documents of the first statement alone.
    std::map<std::size_t, std::string> first_statement;
    std::string info = R"({"starting":false,"uptime":"2.00h"})";
    std::string state = "\"ACTIVE\"";
    http::Headers headers;  // of every document
    Micros poll_duration = 0;
    int statements = 0;
    int info_polls = 0;
    net::Address address;

private:
    void send_after(Micros delay, http::Server::Reply reply, http::Response response) {
        if (delay == 0)
            return reply.send(response);
        const auto held = std::make_shared<http::Server::Reply>(std::move(reply));
        loop_.after(delay, [held, response = std::move(response)] {
            held->send(response);
        });
    }
    http::Response answer(const http::Request& request) {
        if (request.target == "/v1/info") {
            ++info_polls;
            return statement::json_response(200, info);
        }
        if (request.target == "/v1/info/state")
            return statement::json_response(200, state);
        if (request.method == "DELETE")
            return {204, {}, {}};
        const bool is_post = request.method == "POST";
        statements += is_post;
        const std::size_t page =
            is_post
                ? 0
                : to_number<std::size_t>(request.target.substr(request.target.rfind('/') + 1)).value_or(0);
        auto text = documents.at(page);
        if (const auto altered = first_statement.find(page);
            altered != first_statement.end() && statements == 1)
            text = altered->second;
        auto response = statement::json_response(200, text);
        for (const auto& [name, value] : headers)
            response.headers.add(name, value);
        return response;
    }

    net::Loop& loop_;
    http::Server server_;
};

struct InvalidText : NamedParameter {
    const char* text;
};

// A front whose only engine is scripted.
class InvalidDocuments : public ::testing::Test {
protected:
    InvalidDocuments() {
        bed.settings.engines.at(0).address = engine.address;
        bed.restart();
    }
    ClientStatement& run(const std::string& source = "short") {
        ClientStatement& submission = bed.submit("SELECT 1", source);
        EXPECT_TRUE(bed.wait_until([&] {
            return submission.ended;
        }));
        return submission;
    }
    EndpointState state() {
        return bed.front().engines().all().begin()->second->state_tracker.endpoint().state;
    }
    // Waits until the front has read `info` and `state` as they stand now.
    void wait_for_status() {
        const int before = engine.info_polls;
        ASSERT_TRUE(bed.wait_until([&] {
            return engine.info_polls >= before + 3;
        }));
    }
    FrontTestBed bed{1};
    ScriptedEngine engine{bed.loop};
};

class InvalidNextUri : public InvalidDocuments, public ::testing::WithParamInterface<InvalidText> {};

// Guards against serving the first page as the whole result because the URI of the next one cannot be read.
TEST_P(InvalidNextUri, NeverServesAPartOfTheResultAsTheWhole) {
    engine.first_statement[1] =
        ScriptedEngine::document(std::string(GetParam().text) + R"(,"columns":[{"name":"a"}],"data":[[1]],)");
    const ClientStatement& submission = run();
    EXPECT_EQ(submission.error(), "");
    EXPECT_EQ(submission.pages, (std::vector<std::string>{"[[1]]", "[[2]]"}));
    EXPECT_EQ(engine.statements, 2);
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidNextUri,
    ::testing::Values(
        InvalidText{{"number"}, R"("nextUri":2)"}, InvalidText{{"boolean"}, R"("nextUri":true)"},
        InvalidText{{"array"}, R"("nextUri":["http://e/x"])"},
        InvalidText{{"object"}, R"("nextUri":{"uri":"http://e/x"})"},
        InvalidText{{"empty"}, R"("nextUri":"")"}, InvalidText{{"no_path"}, R"("nextUri":"http://engine")"},
        InvalidText{{"line_break"}, R"("nextUri":"http://e/v1/statement/executing/q/s/2\r\nX: y")"},
        InvalidText{{"space"}, R"("nextUri":"http://e/v1/statement/executing/q/s/ 2")"},
        InvalidText{{"repeated"}, R"("nextUri":"http://e/v1/statement/executing/q/s/2","nextUri":null)"}),
    kParameterName);

class InvalidStatistics : public InvalidDocuments, public ::testing::WithParamInterface<InvalidText> {};

// Guards against sending a statement that must not execute twice again after a document whose state or work
// cannot be read, as if that proved that it waited in the queue.
TEST_P(InvalidStatistics, DoNotProveThatAStatementHasNotExecuted) {
    engine.first_statement[1] = "{\"id\":\"q\",\"nextUri\":" + ScriptedEngine::uri(2) + GetParam().text + "}";
    engine.first_statement[2] =
        R"({"id":"q","error":{"message":"full","errorName":"QUERY_QUEUE_FULL","errorType":"INSUFFICIENT_RESOURCES"},)"
        R"("stats":{"state":"FAILED"}})";
    const ClientStatement& submission = run("unsafe");
    EXPECT_NE(submission.error(), "");
    EXPECT_NE(submission.error(), "QUERY_QUEUE_FULL") << "a promise that it has not executed";
    EXPECT_EQ(engine.statements, 1);
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidStatistics,
    ::testing::Values(InvalidText{{"missing"}, ""}, InvalidText{{"empty"}, R"(,"stats":{})"},
                      InvalidText{{"state_of_another_type"}, R"(,"stats":{"state":7,"cpuTimeMillis":5})"},
                      InvalidText{{"unknown_state"}, R"(,"stats":{"state":"RUNN1NG"})"},
                      InvalidText{{"null_state"}, R"(,"stats":{"state":null})"},
                      InvalidText{{"work_of_another_type"},
                                  R"(,"stats":{"state":"QUEUED","cpuTimeMillis":"5"})"},
                      InvalidText{{"negative_work"}, R"(,"stats":{"state":"QUEUED","cpuTimeMillis":-5})"}),
    kParameterName);

class UnknownProgress : public InvalidDocuments, public ::testing::WithParamInterface<InvalidText> {};

// Guards against cancelling an attempt whose engine tells no progress, or one that cannot be read, as if it
// had made none.
TEST_P(UnknownProgress, DoesNotCountAsNoProgress) {
    constexpr int kPolls = 40;
    engine.poll_duration = 50 * kMillisecond;
    for (int page = 1; page < kPolls; ++page)
        engine.documents.insert(engine.documents.begin() + page,
                                ScriptedEngine::document("\"nextUri\":" + ScriptedEngine::uri(page + 1) + ",",
                                                         std::string("\"RUNNING\"") + GetParam().text));
    engine.documents.at(kPolls) =
        ScriptedEngine::document("\"nextUri\":" + ScriptedEngine::uri(kPolls + 1) + R"(,"data":[[1]],)");
    const ClientStatement& submission = run("long");
    EXPECT_EQ(submission.error(), "");
    EXPECT_EQ(submission.pages, (std::vector<std::string>{"[[1]]", "[[2]]"}));
    EXPECT_EQ(engine.statements, 1);
}

INSTANTIATE_TEST_SUITE_P(Values, UnknownProgress,
                         ::testing::Values(InvalidText{{"missing"}, ""},
                                           InvalidText{{"null"}, R"(,"progressPercentage":null)"},
                                           InvalidText{{"text"}, R"(,"progressPercentage":"50")"},
                                           InvalidText{{"negative"}, R"(,"progressPercentage":-3)"},
                                           InvalidText{{"overflow"}, R"(,"progressPercentage":1e999)"}),
                         kParameterName);

// A state that the engine tells before the execution is that proof.
TEST_F(InvalidDocuments, StatementRejectedInTheQueueIsSentAgain) {
    engine.first_statement[1] = ScriptedEngine::document(
        R"("error":{"message":"full","errorName":"QUERY_QUEUE_FULL","errorType":"INSUFFICIENT_RESOURCES"},)",
        "\"FAILED\"");
    const ClientStatement& submission = run("unsafe");
    EXPECT_EQ(submission.error(), "");
    EXPECT_EQ(engine.statements, 2);
}

// Guards against sending to an engine that shuts down because a later report of its state cannot be read.
TEST_F(InvalidDocuments, EngineThatShutsDownIsNotReadyAgainUntilItSaysSo) {
    engine.state = "\"SHUTTING_DOWN\"";
    wait_for_status();
    ASSERT_EQ(state(), EndpointState::draining);
    for (const char* unreadable :
         {"", "\"SHUTT1NG_DOWN\"", "7", "null", "SHUTTING_DOWN", "{\"state\":1}", "\"\""}) {
        engine.state = unreadable;
        wait_for_status();
        EXPECT_EQ(state(), EndpointState::draining) << unreadable;
    }
    engine.state = "\"ACTIVE\"";
    EXPECT_TRUE(bed.wait_until([&] {
        return state() == EndpointState::ready;
    }));
}

TEST_F(InvalidDocuments, EngineThatStartsIsNotReadyUntilItSaysSo) {
    engine.info = R"({"starting":true})";
    wait_for_status();
    ASSERT_EQ(state(), EndpointState::draining);
    for (const char* unreadable :
         {R"({"starting":"false"})", R"({"starting":0})", R"({"starting":false,"starting":true})", "{", ""}) {
        engine.info = unreadable;
        wait_for_status();
        EXPECT_EQ(state(), EndpointState::draining) << unreadable;
    }
    engine.info = R"({"starting":false,"uptime":"2.00h"})";
    EXPECT_TRUE(bed.wait_until([&] {
        return state() == EndpointState::ready;
    }));
}

TEST_F(InvalidDocuments, UptimeThatCannotBeReadLeavesTheLastKnownStart) {
    const auto started_at = [&] {
        return bed.front().engines().all().begin()->second->state_tracker.endpoint().started_at;
    };
    engine.info = R"({"starting":false,"uptime":"1.00s"})";
    wait_for_status();
    const Micros known = started_at();
    EXPECT_GT(known, 0);
    for (const char* uptime : {R"("")", R"("1x.00s")", R"("-1.00s")", R"("1")", R"("inf s")",
                               R"("99999999999d")", "7", "null", "{}", R"("9.00d","uptime":"0.10s")"}) {
        engine.info = std::string(R"({"starting":false,"uptime":)") + uptime + "}";
        wait_for_status();
        EXPECT_EQ(started_at(), known) << uptime;
        EXPECT_EQ(state(), EndpointState::ready) << uptime;
    }
}

// Guards against figures of an engine that keep the policy from admitting statements for good, and against an
// overflow in the time after which a client may retry.
TEST_F(InvalidDocuments, FiguresOutOfRangeDoNotKeepStatementsFromBeingServed) {
    engine.documents[2] = ScriptedEngine::document(
        R"("data":[[2]],)", R"("FINISHED","cpuTimeMillis":9e18,"peakMemoryBytes":-1,"spilledBytes":1e300)");
    for (const char* report : {"concurrent=inf,depth=nan", "concurrent=1e300", "concurrent=-1e300,depth=-1",
                               "concurrent=nan", "concurrent=1e5,concurrent=1e5"}) {
        engine.headers.clear();
        engine.headers.add("X-Gatetiller-Load", report);
        for (int i = 0; i < 3; ++i)
            EXPECT_EQ(run().error(), "") << report;
    }
    EXPECT_EQ(engine.statements, 15);
    ASSERT_EQ(bed.finished.size(), 15u);
    for (const auto& statement : bed.finished)
        EXPECT_EQ(statement.cpu_ms, 0);
}

}  // namespace
}  // namespace gatetiller::testing
