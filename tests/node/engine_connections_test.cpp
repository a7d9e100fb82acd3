// What the end of a connection to an engine proves, and what never arrives there.
#include "node/engine_connections.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "base/await.hpp"
#include "net/poll_loop.hpp"
#include "raw_socket.hpp"
#include "resp/resp.hpp"

namespace gatetiller::testing {
namespace {

using How = decide::ExchangeResult::Status;

struct Ends final : node::Exchange::Events {
    void on_progress(ProgressKind, double) override {}
    void on_end(decide::ExchangeResult e) override {
        how = e.status, why = e.detail;
    }
    std::string why;
    std::optional<node::Exchange::Request> current_request() override {
        return node::Exchange::Request{"-", body};
    }
    bool may_begin(std::uint64_t) override {
        return allowed;
    }
    bool allowed = true;
    std::optional<How> how;
    std::string body = std::string(40'000, 'x');
};

// What the guard says of a first attempt at an engine that is listed.
decide::AttemptPermit permit() {
    static const PolicySettings settings = [] {
        PolicySettings s;
        s.max_attempts = 1;
        return s;
    }();
    decide::AttemptContext facts;
    facts.time_left = kSecondMicros, facts.target.listed = true;
    return *decide::AttemptGuard(settings).permit(facts, ClassSettings{}, std::nullopt);
}

// Many large requests on one connection to an engine that reads nothing: the first are with the kernel, the
// last wait behind them.
class DeafEngine : public ::testing::Test {
protected:
    void SetUp() override {
        raw.receive_little();
        const auto address = raw.listen(16);
        decide::ConnectionLimits limits{.max_connections = 1, .max_streams = 10'000};
        pool.max_connections = 1;
        link = std::make_unique<node::EngineConnections>(loop, address, limits, pool);
        for (int i = 0; i < 300; ++i) {
            ends.push_back(std::make_unique<Ends>());
            exchanges.push_back(link->send_request(permit(), "id-" + std::to_string(i) + ".", *ends.back()));
        }
        ASSERT_TRUE(await(loop, [&] {
            return (peer = raw.accept()) != nullptr;
        }));
        for (int i = 0; i < 50; ++i)
            loop.turn(0);
    }
    net::PollLoop loop;
    RawSocket raw;
    std::unique_ptr<RawSocket> peer;
    node::ConnectionPool pool;
    std::vector<std::unique_ptr<Ends>> ends;
    std::vector<std::unique_ptr<node::Exchange>> exchanges;
    std::unique_ptr<node::EngineConnections> link;
};

TEST_F(DeafEngine, WhatWaitsBehindOneThatReadsNothingIsTakenBackWithoutAWord) {
    EXPECT_FALSE(exchanges.front()->withdraw_unsent());  // with the kernel
    EXPECT_TRUE(exchanges[298]->withdraw_unsent());
    exchanges[299]->set_priority(3);
    exchanges[299].reset();  // given up: neither it nor what was said of it goes out
    exchanges[297]->set_priority(2);
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return peer->got.find("bump") != std::string::npos;
    }));
    EXPECT_NE(peer->got.find("id-297."), std::string::npos);
    EXPECT_EQ(peer->got.find("id-298."), std::string::npos);
    EXPECT_EQ(peer->got.find("id-299."), std::string::npos);
    EXPECT_EQ(peer->got.find("undo"), std::string::npos);
}

// Of a request given up while it goes out, the rest must not follow: its attempt would begin when its client
// is long gone.
TEST_F(DeafEngine, ARequestGivenUpInTheMiddleOfItsSendingNeverArrivesWhole) {
    // The first that a look at the buffer can't take back is either whole with the kernel or partly so: all
    // of those.
    for (auto& e : exchanges)
        if (!e->withdraw_unsent())
            e.reset();
    ASSERT_TRUE(await(loop, [&] {
        const bool open = peer->read();
        return !open || link->size() == 0;
    }));
    for (int i = 0; i < 50; ++i)
        loop.turn(kMillisecond);
    peer->read();
    // Every request that came whole was handed to the kernel before; what was cut stands at the very end.
    std::vector<std::string_view> words;
    std::size_t size = 0;
    std::string_view rest = peer->got;
    while (resp::read_array(rest, {4, 64 * 1024}, words, size) == resp::ParseStatus::complete)
        rest.remove_prefix(size);
    EXPECT_EQ(rest.find("undo"), std::string_view::npos);
    EXPECT_EQ(rest.find("\r\n*"), std::string_view::npos) << "something followed a request cut in its middle";
    EXPECT_EQ(link->size(), 0u);
}

// What the kernel still holds of requests given up, for an engine that has acknowledged nothing of it, would
// begin whenever that engine reads again: seconds after its drain's grace, or after its client has left.
TEST_F(DeafEngine, WhatTheKernelHoldsOfRequestsGivenUpNeverArrives) {
    for (auto& e : exchanges)
        e.reset();
    ASSERT_TRUE(await(loop, [&] {
        return link->size() == 0;
    }));
    ASSERT_TRUE(await(loop, [&] {
        return !peer->read();
    }));
    EXPECT_TRUE(peer->reset);
    EXPECT_LT(peer->got.size(), 200'000u) << "more than its own buffer had taken";
}

// The permit of a request counts when its first byte goes to the kernel, however shortly before it was
// written down.
TEST(EngineConnectionsTest, ARequestThatMayNotBeginAnyMoreWhenItsConnectionComesUpNeverDoes) {
    net::PollLoop loop;
    RawSocket raw;
    node::ConnectionPool pool;
    node::EngineConnections link(loop, raw.listen(16), {.max_connections = 1, .max_streams = 10}, pool);
    Ends first, second;
    const auto a = link.send_request(permit(), "id-a.", first),
               b = link.send_request(permit(), "id-b.", second);
    first.allowed = false;
    std::unique_ptr<RawSocket> peer;
    ASSERT_TRUE(await(loop, [&] {
        return (peer = raw.accept()) != nullptr;
    }));
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return first.how && peer->got.find("id-b.") != std::string::npos;
    }));
    EXPECT_EQ(first.how, How::not_sent);
    EXPECT_EQ(peer->got.find("id-a."), std::string::npos);
}

// Its deadline is what is left when it goes out, also behind an engine that reads nothing for a while.
TEST_F(DeafEngine, WhatWaitsBehindOneThatReadsNothingIsWrittenAnewWhenItGoesOut) {
    for (const auto& e : ends)
        e->body = std::string(40'000, 'y');
    const Micros since = loop.now();
    ASSERT_TRUE(await(loop, [&] {
        return loop.now() - since > 50 * kMillisecond;
    }));
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return ends.back()->how ||
               (peer->got.find("id-299.") != std::string::npos && peer->got.ends_with("y\r\n"));
    }));
    if (ends.back()->how) {
        // This machine took longer over one request than a part of it may be out: it is cut off, and the last
        // never goes out.
        EXPECT_EQ(ends.back()->why, "its first part had gone out too long ago");
        EXPECT_EQ(ends.back()->how, How::not_sent);
        EXPECT_GT(loop.now() - since, 120 * kMillisecond);
        EXPECT_EQ(peer->got.find("id-299."), std::string::npos);
        return;
    }
    EXPECT_GT(pool.rewritten, 0u);
    const auto last = peer->got.rfind("id-299.");
    EXPECT_EQ(peer->got.find('x', last), std::string::npos);
    // In their order, each once.
    std::size_t at = 0;
    for (int i = 0; i < 300; ++i) {
        const std::string id = "id-" + std::to_string(i) + ".";
        const auto found = peer->got.find(id, at);
        ASSERT_NE(found, std::string::npos) << id;
        at = found + id.size();
        EXPECT_EQ(peer->got.find(id, at), std::string::npos) << id << " twice";
    }
}

TEST_F(DeafEngine, AResetLosesWhatWasWrittenAndProvesThatTheRestNeverRan) {
    peer->close();  // over unread bytes: a reset
    ASSERT_TRUE(await(loop, [&] {
        return std::all_of(ends.begin(), ends.end(), [](const auto& e) {
            return e->how.has_value();
        });
    }));
    EXPECT_EQ(ends.front()->how, How::connection_lost);
    EXPECT_EQ(ends.back()->how, How::not_sent);
    // In the order of sending: all that may have run before all that can't have.
    const auto first_unsent = std::find_if(ends.begin(), ends.end(), [](const auto& e) {
        return e->how == How::not_sent;
    });
    for (auto e = ends.begin(); e != ends.end(); ++e)
        EXPECT_EQ((*e)->how, e < first_unsent ? How::connection_lost : How::not_sent);
}

TEST_F(DeafEngine, AnAnswerThatCantBeReadLosesNothingThatWasNeverSent) {
    peer->send("*1\r\n$-7\r\n");
    ASSERT_TRUE(await(loop, [&] {
        return ends.back()->how.has_value();
    }));
    EXPECT_EQ(ends.front()->how, How::connection_lost);
    EXPECT_EQ(ends.back()->how, How::not_sent);
}

}  // namespace
}  // namespace gatetiller::testing
