// Tests of the HTTP server and client over real sockets.
#include "http/server.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "base/await.hpp"
#include "http/client.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::http {
namespace {

// A client that sends raw bytes and records everything it receives.
struct RawClient final : net::StreamEvents {
    RawClient(net::Loop& loop, const net::Address& to) : stream(loop.connect(to, *this, kSecondMicros)) {}
    void on_data(Buffer& in) override {
        received += in.view(), in.clear();
    }
    void on_closed(net::Closed how) override {
        closed = how;
    }
    std::size_t count(const std::string& text) const {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = received.find(text, at)) != std::string::npos; ++at)
            ++n;
        return n;
    }
    std::string received;
    std::optional<net::Closed> closed;
    std::unique_ptr<net::Stream> stream;
};

class ServerTest : public ::testing::Test {
protected:
    void start(ServerOptions options = {}, const char* at = "127.0.0.1:0") {
        server = std::make_unique<Server>(loop, options, [this](Request& r, Server::Reply reply) {
            targets.push_back(r.target);
            last = r;
            if (r.target == "/later")
                return void(later.push_back(std::move(reply)));
            reply.send({200, {}, "received " + r.target + " " + std::to_string(r.body.size())});
        });
        address = *server->listen(*net::Address::parse(at));
    }
    template <typename C>
    bool until(C condition) {
        return gatetiller::testing::await(loop, condition);
    }
    net::PollLoop loop;
    net::Address address;
    std::vector<std::string> targets;
    std::vector<Server::Reply> later;
    Request last;
    std::unique_ptr<Server> server;
};

TEST_F(ServerTest, RespondsToPipelinedRequestsInOrder) {
    start();
    RawClient raw(loop, address);
    raw.stream->send(
        "GET /later HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nHEAD /3 HTTP/1.1\r\nHost: "
        "a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(until([&] {
        return later.size() == 1;
    }));
    EXPECT_EQ(targets, std::vector<std::string>{"/later"});
    later[0].send({200, {}, "first"});
    ASSERT_TRUE(until([&] {
        return raw.closed.has_value();
    }));
    EXPECT_LT(raw.received.find("first"), raw.received.find("/2"));
    EXPECT_EQ(raw.count("HTTP/1.1 200"), 3u);
    EXPECT_EQ(raw.received.find("received /3"), std::string::npos);  // HEAD has no body
}

TEST_F(ServerTest, SendsContinueBeforeTheBodyArrives) {
    start();
    RawClient raw(loop, address);
    raw.stream->send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    ASSERT_TRUE(until([&] {
        return raw.count("100 Continue") == 1;
    }));
    raw.stream->send("hello");
    ASSERT_TRUE(until([&] {
        return raw.count("received /x 5") == 1;
    }));
}

TEST_F(ServerTest, ReceivesABodyByteByByteAndTimesOutSlowRequests) {
    start({.header_time_out = 300 * kMillisecond, .body_time_out = 300 * kMillisecond});
    RawClient quick(loop, address);
    const std::string text = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    for (const char c : text) {
        quick.stream->send(std::string(1, c));
        loop.turn(kMillisecond);
    }
    ASSERT_TRUE(until([&] {
        return quick.count("received /slow 3") == 1;
    }));
    RawClient header(loop, address), body(loop, address);
    header.stream->send("POST /never HTT");
    body.stream->send("POST /never HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na");
    ASSERT_TRUE(until([&] {
        return header.closed && body.closed;
    }));
    EXPECT_EQ(header.count("408"), 1u);
    EXPECT_EQ(body.count("408"), 1u);
    EXPECT_EQ(server->counts().header_timed_out, 1u);
    EXPECT_EQ(server->counts().body_timed_out, 1u);
}

TEST_F(ServerTest, ClosesAndCountsMalformedIdleAndExcessConnections) {
    start({.idle_time_out = 200 * kMillisecond, .connections = 3});
    RawClient bad(loop, address), idle(loop, address), used(loop, address);
    bad.stream->send("GET /\n\n");
    used.stream->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(until([&] {
        return server->counts().accepted == 3;
    }));
    ASSERT_TRUE(until([&] {
        return bad.closed && idle.closed && used.closed;
    }));
    EXPECT_EQ(bad.count("400 Bad Request"), 1u);
    EXPECT_EQ(used.count("200 OK"), 1u);
    EXPECT_EQ(server->counts().malformed, 1u);
    EXPECT_EQ(server->counts().idle_timed_out, 2u);
    std::vector<std::unique_ptr<RawClient>> extra;
    for (int i = 0; i < 5; ++i)
        extra.push_back(std::make_unique<RawClient>(loop, address));
    ASSERT_TRUE(until([&] {
        return server->counts().over_limit == 2;
    }));
}

TEST_F(ServerTest, ClientReportsTheOutcomeOfEachCall) {
    start();
    Client client(loop, address, {});
    std::vector<Answer> answers;
    const auto record = [&](Answer a) {
        answers.push_back(std::move(a));
    };
    const auto call = [&](Client& c, const std::string& target, Micros time_out) {
        answers.clear();
        auto active = c.send({"GET", target, 1, {}, {}, {}}, time_out, record);
        EXPECT_TRUE(until([&] {
            return !answers.empty();
        }));
        return answers.at(0).outcome;
    };
    EXPECT_EQ(call(client, "/1", 0), CallOutcome::answered);
    EXPECT_EQ(call(client, "/2", 0), CallOutcome::answered);
    EXPECT_EQ(client.open(), 1u);  // the connection was reused
    EXPECT_EQ(call(client, "/later", 50 * kMillisecond), CallOutcome::timed_out);
    answers.clear();
    auto broken = client.send({"GET", "/later", 1, {}, {}, {}}, 0, record);
    ASSERT_TRUE(until([&] {
        return later.size() == 2;
    }));
    later.back().break_connection();
    ASSERT_TRUE(until([&] {
        return !answers.empty();
    }));
    EXPECT_EQ(answers[0].outcome, CallOutcome::broken);
    server->stop_listening();
    server->close_all();
    EXPECT_EQ(call(client, "/3", 0), CallOutcome::never_sent);
}

TEST_F(ServerTest, CancelledCallNeverCallsBackNorAffectsALaterCall) {
    start();
    Client client(loop, address, {});
    int done = 0;
    auto first = client.send({"GET", "/1", 1, {}, {}, {}}, 0, [&](const Answer&) {
        ++done;
    });
    ASSERT_TRUE(until([&] {
        return done == 1;
    }));
    // The connection is now used by another call, which the old handle must not cancel.
    auto second = client.send({"GET", "/later", 1, {}, {}, {}}, 0, [&](const Answer&) {
        ++done;
    });
    first.cancel();
    ASSERT_TRUE(until([&] {
        return later.size() == 1;
    }));
    later[0].send({200, {}, ""});
    ASSERT_TRUE(until([&] {
        return done == 2;
    }));
    auto third = client.send({"GET", "/later", 1, {}, {}, {}}, 0, [&](const Answer&) {
        ++done;
    });
    ASSERT_TRUE(until([&] {
        return later.size() == 2;
    }));
    third.cancel();
    ASSERT_TRUE(until([&] {
        return server->connections() == 0;
    }));
    EXPECT_EQ(done, 2);
}

TEST_F(ServerTest, ListensOnEachAddressFamily) {
    const std::string path = "/tmp/gatetiller-test-" + std::to_string(::getpid()) + ".sock";
    for (const std::string& at : {std::string("127.0.0.1:0"), std::string("[::1]:0"), "unix:" + path}) {
        start({}, at.c_str());
        Client client(loop, address, {});
        bool ok = false;
        auto call = client.send({"GET", "/", 1, {}, {}, {}}, kSecondMicros, [&](const Answer& a) {
            ok = a.outcome == CallOutcome::answered;
        });
        EXPECT_TRUE(until([&] {
            return ok;
        })) << at;
    }
    server.reset();
    EXPECT_NE(::access(path.c_str(), F_OK), 0);  // the server removes its socket file
}

// ---- What clients make the server hold

constexpr std::size_t kPartBytes = 200'000;  // of a request body of twice that size

std::string unfinished_request() {
    return "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(2 * kPartBytes) +
           "\r\n\r\n" + std::string(kPartBytes, 'x');
}

// Guards against memory without limit for many clients with unfinished requests (review case 10, in serve).
TEST_F(ServerTest, ManyUnfinishedRequestsStayWithinTheLimitAndOthersAreServed) {
    constexpr std::size_t kClients = 20;
    constexpr std::size_t kReadAtOnce = 64 * 1024;
    start({.input_bytes = 5 * kPartBytes});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<RawClient>(loop, address));
        clients.back()->stream->send(unfinished_request());
    }
    std::size_t most_held = 0;
    ASSERT_TRUE(until([&] {
        most_held = std::max(most_held, server->input_bytes());
        return server->counts().discarded >= kClients - 5;
    }));
    EXPECT_LE(most_held, 5 * kPartBytes + kClients * net::InputBudget::kAllowanceBytes + 2 * kReadAtOnce);
    RawClient ordinary(loop, address);
    ordinary.stream->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(until([&] {
        return ordinary.count("HTTP/1.1 200") == 1;
    }));
    ASSERT_TRUE(until([&] {
        return std::ranges::count_if(clients, [](const auto& client) {
                   return client->closed.has_value();
               }) == static_cast<std::ptrdiff_t>(server->counts().discarded);
    }));
    // A reset may overtake the response where more of the request was on its way.
    EXPECT_LE(server->connections(), 5u + 1);
}

// Guards against responses without limit for a client that sends many requests and reads nothing.
TEST_F(ServerTest, HandlesNoFurtherRequestOfAClientThatDoesNotReadItsResponses) {
    constexpr std::size_t kRequests = 100;
    constexpr std::size_t kResponseBytes = 4 << 20;  // more than the kernel's buffers hold
    std::size_t handled = 0;
    server = std::make_unique<Server>(loop, ServerOptions{}, [&](Request&, Server::Reply reply) {
        ++handled;
        reply.send({200, {}, std::string(kResponseBytes, 'x')});
    });
    address = *server->listen(*net::Address::parse("127.0.0.1:0"));
    RawClient raw(loop, address);
    raw.stream->read(false);
    for (std::size_t i = 0; i < kRequests; ++i)
        raw.stream->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(until([&] {
        return handled > 0;
    }));
    for (int turn = 0; turn < 200; ++turn)
        loop.turn(kMillisecond);
    EXPECT_LT(handled, 10u);
    raw.stream->read(true);
    ASSERT_TRUE(until([&] {
        return raw.received.size() > kRequests * kResponseBytes;
    }));
    EXPECT_EQ(handled, kRequests);
}

// Guards against responses without limit for many clients that read nothing.
TEST_F(ServerTest, ReplacesLargeResponsesWhileTooManyAreNotRead) {
    constexpr std::size_t kClients = 10;
    constexpr std::size_t kResponseBytes = 8 << 20;
    server = std::make_unique<Server>(loop, ServerOptions{.unsent_bytes = 3 * kResponseBytes},
                                      [&](Request&, Server::Reply reply) {
                                          reply.send({200, {}, std::string(kResponseBytes, 'x')});
                                      });
    address = *server->listen(*net::Address::parse("127.0.0.1:0"));
    std::vector<std::unique_ptr<RawClient>> clients;
    const auto send_request = [](RawClient& client) {
        client.stream->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    };
    for (std::size_t i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<RawClient>(loop, address));
        clients.back()->stream->read(false);
        send_request(*clients.back());
    }
    ASSERT_TRUE(until([&] {
        return server->counts().requests == kClients;
    }));
    EXPECT_EQ(server->counts().replaced, kClients - 2);
    for (const auto& client : clients)
        client->stream->read(true);
    ASSERT_TRUE(until([&] {
        return std::ranges::all_of(clients, [](const auto& client) {
            return client->received.size() > kResponseBytes || client->count("HTTP/1.1 503") == 1;
        });
    }));
    RawClient afterwards(loop, address);
    send_request(afterwards);
    ASSERT_TRUE(until([&] {
        return afterwards.received.size() > kResponseBytes;
    }));
    EXPECT_EQ(afterwards.count("HTTP/1.1 200"), 1u);
}

}  // namespace
}  // namespace gatetiller::http
