#include "http/parser.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::http {
namespace {

struct Outcome {
    Parser::State state = Parser::State::start;
    int status = 0;
    Request request;
    Response response;
    std::size_t unread = 0;
    bool keep_alive = false;
    friend bool operator==(const Outcome& a, const Outcome& b) {
        return a.state == b.state && (a.state != Parser::State::failed || a.status == b.status) &&
               (a.state != Parser::State::done ||
                (a.unread == b.unread && a.keep_alive == b.keep_alive &&
                 a.request.method == b.request.method && a.request.target == b.request.target &&
                 a.request.headers == b.request.headers && a.request.body == b.request.body &&
                 a.response.status == b.response.status && a.response.headers == b.response.headers &&
                 a.response.body == b.response.body));
    }
};

constexpr Limits kSmall{.start_line = 200, .header_bytes = 400, .header_count = 8, .body = 300};

// Feeds the text in pieces of at most `max_piece` bytes (of random size with `random`); 0: all at once.
Outcome parse(Parser::Kind kind, const std::string& text, std::size_t max_piece, Random* random = nullptr) {
    Parser p(kind, kSmall);
    Buffer in;
    std::size_t at = 0;
    while (at < text.size()) {
        std::size_t n = max_piece == 0 ? text.size() : max_piece;
        if (random)
            n = 1 + random->below(max_piece);
        n = std::min(n, text.size() - at);
        in.append(std::string_view(text).substr(at, n));
        at += n;
        if (p.feed(in))
            break;
    }
    Outcome o{p.state(),     p.error_status(), p.request(), p.response(), in.size() + text.size() - at,
              p.keep_alive()};
    return o;
}

const std::vector<std::string> kRequests = {
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nSELECT 1GET / HTTP/1.1\r\nHost: "
    "a\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nhello\r\n3;x=y\r\n...\r\n0\r\nTrailer: t\r\n\r\n",
    "\r\nGET /late HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
};
const std::vector<std::string> kResponses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 503 \r\nRetry-After: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\nuntil the end",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
};

TEST(Parser, ResultDoesNotDependOnHowBytesAreSplitOverManySeeds) {
    constexpr std::string_view kBytes = "\r\n :;,0123456789aZ\t\0\x7f\xffHTTP/1.";
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        Random random(seed);
        const bool request = random.chance(0.6);
        const auto kind = request ? Parser::Kind::request : Parser::Kind::response;
        const auto& texts = request ? kRequests : kResponses;
        std::string text = texts[random.below(texts.size())];
        for (std::uint64_t changes = random.below(4); changes > 0; --changes) {
            const std::size_t at = random.below(text.size());
            switch (random.below(4)) {
                case 0:
                    text[at] = kBytes[random.below(kBytes.size())];
                    break;
                case 1:
                    text.erase(at, 1 + random.below(5));
                    break;
                case 2:
                    text.insert(at, 1 + random.below(3), kBytes[random.below(kBytes.size())]);
                    break;
                default:
                    text.insert(at, text.substr(at, random.below(80)));
            }
            if (text.empty())
                text = " ";
        }
        const auto at_once = parse(kind, text, 0);
        EXPECT_EQ(at_once, parse(kind, text, 1)) << "seed " << seed << ": " << text;
        EXPECT_EQ(at_once, parse(kind, text, 7, &random)) << "seed " << seed << ": " << text;
    }
}

TEST(Parser, ParsesWellFormedMessages) {
    for (const auto& text : kRequests)
        EXPECT_EQ(parse(Parser::Kind::request, text, 0).state, Parser::State::done) << text;
    const auto chunked = parse(Parser::Kind::request, kRequests[2], 0);
    EXPECT_EQ(chunked.request.body, "hello...");
    EXPECT_FALSE(chunked.request.headers.find("Trailer"));
    EXPECT_EQ(parse(Parser::Kind::request, kRequests[1], 0).unread, kRequests[0].size());
    EXPECT_FALSE(parse(Parser::Kind::request, kRequests[3], 0).keep_alive);
    EXPECT_TRUE(parse(Parser::Kind::request, kRequests[4], 0).keep_alive);
    EXPECT_EQ(parse(Parser::Kind::response, kResponses[3], 0).state, Parser::State::body_to_end);
}

TEST(Parser, RejectsAmbiguousMessages) {
    const auto status = [](const std::string& head, const std::string& body = "") {
        const auto o = parse(Parser::Kind::request, head + "\r\n" + body, 0);
        return o.state == Parser::State::failed ? o.status : 0;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    EXPECT_EQ(status(post + "Content-Length: 1\r\nContent-Length: 1\r\n", "x"), 400);
    EXPECT_EQ(status(post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400);
    EXPECT_EQ(status(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), 400);
    EXPECT_EQ(status(post + "Transfer-Encoding: gzip, chunked\r\n"), 501);
    EXPECT_EQ(status(post + "Transfer-Encoding : chunked\r\n"), 400);
    EXPECT_EQ(status(post + "Content-Length: +1\r\n"), 400);
    EXPECT_EQ(status(post + "Content-Length: 1, 1\r\n"), 400);
    EXPECT_EQ(status(post + "Content-Length: 0x1\r\n"), 400);
    EXPECT_EQ(status(post + "X: a\r\n folded\r\n"), 400);
    EXPECT_EQ(status(post + "X: a\n"), 400);
    EXPECT_EQ(status(post + "X: a\rb\r\n"), 400);
    EXPECT_EQ(status(post + "Transfer-Encoding: chunked\r\n", "1\nx\r\n"), 400);
    EXPECT_EQ(status(post + "Transfer-Encoding: chunked\r\n", "-1\r\nx\r\n"), 400);
    EXPECT_EQ(status(post + "Transfer-Encoding: chunked\r\n", "1\r\nxy\r\n"), 400);
    EXPECT_EQ(status(post + "Host: b\r\n"), 400);
    EXPECT_EQ(status("GET / HTTP/1.1\r\n"), 400);
    EXPECT_EQ(status("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"), 400);
    EXPECT_EQ(status("GET  / HTTP/1.1\r\nHost: a\r\n"), 400);
    EXPECT_EQ(status("GET / HTTP/2.0\r\nHost: a\r\n"), 505);
    EXPECT_EQ(status(post + "Content-Length: 301\r\n"), 413);
    EXPECT_EQ(status(post + "X: " + std::string(390, 'x') + "\r\n"), 431);
    EXPECT_EQ(status("GET /" + std::string(300, 'x') + " HTTP/1.1\r\n"), 414);
    EXPECT_EQ(status(post + "Expect: teapot\r\n"), 417);
}

TEST(Parser, RejectsResponsesOfUnreadableStatusOrLength) {
    const auto state = [](const std::string& text) {
        return parse(Parser::Kind::response, text, 0).state;
    };
    EXPECT_EQ(state("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), Parser::State::done);
    for (const char* status : {"HTTP/1.1 2x0 OK", "HTTP/1.1 99 OK", "HTTP/1.1 099 OK", "HTTP/1.1 2000 OK",
                               "HTTP/1.1", "HTTP/1.1 -20 OK", "HTTP/2.0 200 OK", "HTTP/1.1  200", "200 OK"})
        EXPECT_EQ(state(std::string(status) + "\r\nContent-Length: 0\r\n\r\n"), Parser::State::failed)
            << status;
    for (const char* length :
         {"", "x", "-1", "+1", "1.0", "1e1", "0x1", "99999999999999999999", "301", "1, 1",
          "1\r\nContent-Length: 1", "1\r\nContent-Length: 2", "1\r\nTransfer-Encoding: chunked"})
        EXPECT_EQ(state("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nx"),
                  Parser::State::failed)
            << length;
    for (const char* size : {"", "g", "-1", "1.0", "fffffffffffffffff", "12d"})
        EXPECT_EQ(
            state("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\nx\r\n"),
            Parser::State::failed)
            << size;
}

}  // namespace
}  // namespace gatetiller::http
