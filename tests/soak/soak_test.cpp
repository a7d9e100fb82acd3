// The soak's own parts: plans, the fault proxy and what it records.
#include <gtest/gtest.h>

#include "base/await.hpp"
#include "base/stream_end.hpp"
#include "resp/resp.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/plan.hpp"

namespace gatetiller::soak {
namespace {

using testing::await;
using testing::StreamEnd;

TEST(Plan, IsDrawnFromItsSeedAlone) {
    PlanSettings settings;
    settings.seed = 7, settings.troubles = 40;
    const auto text = text_of(settings, draw_plan(settings));
    EXPECT_EQ(text, text_of(settings, draw_plan(settings)));
    PlanSettings other = settings;
    other.seed = 8;
    EXPECT_NE(text, text_of(other, draw_plan(other)));
}

TEST(Plan, TroublesOverlapAndEveryKindComesUp) {
    std::size_t overlaps = 0;
    std::vector<bool> seen(kTroubleKinds);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        PlanSettings settings;
        settings.seed = seed;
        const auto plan = draw_plan(settings);
        for (const Trouble& t : plan) {
            seen[static_cast<std::size_t>(t.kind)] = true;
            EXPECT_LE(t.at, settings.length);
            EXPECT_FALSE(t.nodes.empty());
            for (const Trouble& u : plan)
                overlaps += &u != &t && u.at >= t.at && u.at < t.at + t.lasts;
        }
    }
    for (std::size_t kind = 0; kind < kTroubleKinds; ++kind)
        EXPECT_TRUE(seen[kind]) << name_of(static_cast<TroubleKind>(kind));
    EXPECT_GT(overlaps, 40u * 5);
}

// A front's end and an engine's, with the proxy between them.
class Proxy : public ::testing::Test {
protected:
    Proxy() {
        auto listening =
            loop.listen(*net::Address::parse("127.0.0.1:0"), [this](std::unique_ptr<net::Stream> s) {
                s->events(engine);
                engine.stream = std::move(s);
            });
        listener = std::move(*listening);
        address = *proxy.open(listener->address(), true, link);
    }
    void connect() {
        front.stream = loop.connect(address, front, 5 * kSecondMicros);
    }
    void join() {
        connect();
        ASSERT_TRUE(await(loop, [&] {
            return front.connected && engine.stream;
        }));
    }
    void pass_time(Micros span) {
        const Micros until = loop.now() + span;
        ASSERT_TRUE(await(loop, [&] {
            return loop.now() >= until;
        }));
    }
    std::vector<std::string> events() {
        std::vector<std::string> all;
        for (const auto& m : proxy.take_messages())
            all.push_back(m.event + " " + m.request);
        return all;
    }
    const std::string request = resp::array({"do", "a1", "kind=x,ms=700", "SELECT 1"});
    const std::string answer = resp::array({"a1", "HIT", "chunks=1", "row\n"});
    net::PollLoop loop;
    FaultProxy proxy{1};
    StreamEnd front, engine;
    std::unique_ptr<net::Listener> listener;
    LinkId link = 0;
    net::Address address;
};

TEST_F(Proxy, PassesAllAndRecordsWhatPassed) {
    join();
    front.stream->send(request);
    ASSERT_TRUE(await(loop, [&] {
        return engine.received == request;
    }));
    engine.stream->send(answer);
    ASSERT_TRUE(await(loop, [&] {
        return front.received == answer;
    }));
    const auto messages = proxy.take_messages();
    ASSERT_EQ(messages.size(), 2u);
    EXPECT_EQ(messages[0].event, "arrived");
    EXPECT_EQ(messages[0].ms, 700);
    EXPECT_EQ(messages[1].event, "hit");
    front.stream.reset();
    EXPECT_TRUE(await(loop, [&] {
        return engine.closed.has_value();
    }));
}

TEST_F(Proxy, TricklesWithoutLosingAByte) {
    join();
    proxy.set(link, {.trickle = true});
    front.stream->send(request);
    ASSERT_TRUE(await(loop, [&] {
        return !engine.received.empty();
    }));
    EXPECT_LT(engine.received.size(), request.size());
    EXPECT_TRUE(await(loop, [&] {
        return engine.received == request;
    }));
}

TEST_F(Proxy, HoldsEverythingUntilItIsReleased) {
    join();
    proxy.set(link, {.held = true});
    front.stream->send(request);
    pass_time(50 * kMillisecond);
    EXPECT_TRUE(engine.received.empty());
    proxy.set(link, {});
    EXPECT_TRUE(await(loop, [&] {
        return engine.received == request;
    }));
    const auto messages = proxy.take_messages();
    ASSERT_EQ(messages.size(), 1u);
    EXPECT_GT(messages[0].held_since, 0);
}

TEST_F(Proxy, AHalfOpenConnectionNeitherSpeaksNorEnds) {
    join();
    proxy.set(link, {.half_open = true});
    front.stream->send(request);
    pass_time(50 * kMillisecond);
    engine.stream.reset();
    pass_time(50 * kMillisecond);
    EXPECT_FALSE(front.closed);
    EXPECT_TRUE(engine.received.empty());
    EXPECT_EQ(events(), std::vector<std::string>{"arrived a1"});
}

TEST_F(Proxy, ALateLinkLetsNobodyInUntilItsTimeIsUp) {
    proxy.set(link, {.late = true});
    connect();
    pass_time(100 * kMillisecond);
    EXPECT_FALSE(engine.stream);
    proxy.set(link, {});
    EXPECT_TRUE(await(loop, [&] {
        return front.connected && engine.stream;
    }));
}

TEST_F(Proxy, ResetsBeforeInsideOrBehindAMessage) {
    join();
    proxy.set(link, {.reset = 1});
    front.stream->send(request);
    EXPECT_TRUE(await(loop, [&] {
        return front.closed.has_value();
    }));
    EXPECT_EQ(front.closed, net::Closed::reset);
    EXPECT_GT(proxy.resets(), 0u);
    const auto seen = events();
    ASSERT_EQ(seen.size(), 2u);
    EXPECT_EQ(seen[1], "connection_ended a1");
}

}  // namespace
}  // namespace gatetiller::soak
