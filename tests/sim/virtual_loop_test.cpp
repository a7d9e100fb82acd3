// The loop in virtual time behaves as the real one does towards whoever holds streams and timers.
#include "sim/virtual_loop.hpp"

#include <gtest/gtest.h>

namespace gatetiller::sim {
namespace {

using net::Closed;

struct Peer final : net::StreamEvents {
    void on_connected() override {
        ++connected;
    }
    void on_data(Buffer& in) override {
        got += in.view();
        in.clear();
    }
    void on_sent() override {
        ++sent;
    }
    void on_closed(Closed how) override {
        closed = how;
    }
    std::unique_ptr<net::Stream> stream;
    std::string got;
    int connected = 0, sent = 0;
    std::optional<Closed> closed;
};

const auto kAnyPort = *net::Address::parse("127.0.0.1:0");

TEST(VirtualLoop, TimersRingInOrderAndTimeStandsStillBetweenThem) {
    VirtualLoop loop({});
    std::string order;
    loop.after(20, [&] {
        order += 'c';
    });
    loop.after(10, [&] {
        order += 'a';
    });
    loop.after(10, [&] {
        order += 'b';
    });
    const auto never = loop.after(15, [&] {
        order += 'x';
    });
    loop.after(12, [&] {
        loop.cancel(never);
    });
    const Micros wall = loop.wall();
    EXPECT_TRUE(loop.run(
        [&] {
            return order == "abc";
        },
        kSecondMicros));
    EXPECT_EQ(loop.now(), 20);
    EXPECT_EQ(loop.wall() - wall, 20);
    EXPECT_FALSE(loop.run(
        [] {
            return false;
        },
        100));
    EXPECT_EQ(loop.now(), 120);
}

// What is sent arrives whole and in order, over many pieces, while both sides pause and go on.
TEST(VirtualLoop, StreamsKeepTheirOrderThroughPauses) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        VirtualLoop loop({seed});
        Random random(seed);
        Peer client, server;
        auto door = loop.listen(kAnyPort, [&](std::unique_ptr<net::Stream> s) {
            server.stream = std::move(s);
            server.stream->events(server);
        });
        ASSERT_TRUE(door);
        client.stream = loop.connect((*door)->address(), client, kSecondMicros);
        std::string up, down;
        for (int i = 0; i < 200; ++i) {
            const std::string piece = random.hex(1 + random.below(30));
            if (random.chance(0.5))
                client.stream->send(piece), up += piece;
            else if (server.stream)
                server.stream->send(piece), down += piece;
            if (random.chance(0.1))
                client.stream->read(random.chance(0.6));
            if (server.stream && random.chance(0.1))
                server.stream->read(random.chance(0.6));
            if (random.chance(0.5))
                loop.step();
        }
        ASSERT_TRUE(loop.run(
            [&] {
                return server.stream != nullptr;
            },
            kSecondMicros));
        client.stream->read(true), server.stream->read(true);
        EXPECT_TRUE(loop.run(
            [&] {
                return server.got == up && client.got == down;
            },
            kSecondMicros));
        EXPECT_EQ(client.connected, 1);
        EXPECT_EQ(client.stream->unsent(), 0u);
        // What was sent before the end is read before it.
        server.stream->send("last");
        server.stream.reset();
        client.stream->read(false);
        EXPECT_FALSE(loop.run(
            [&] {
                return client.closed.has_value();
            },
            kSecondMicros));
        client.stream->read(true);
        EXPECT_TRUE(loop.run(
            [&] {
                return client.closed.has_value();
            },
            kSecondMicros));
        EXPECT_EQ(client.got, down + "last");
        EXPECT_EQ(client.closed, Closed::by_peer);
    }
}

TEST(VirtualLoop, NobodyListeningIsRefusedAndADoorOpensAgain) {
    VirtualLoop loop({});
    Peer client;
    auto door = loop.listen(kAnyPort, [](auto) {});
    ASSERT_TRUE(door);
    const auto at = (*door)->address();
    EXPECT_FALSE(loop.listen(at, [](auto) {}));
    door->reset();
    client.stream = loop.connect(at, client, kSecondMicros);
    EXPECT_TRUE(loop.run(
        [&] {
            return client.closed == Closed::refused;
        },
        kSecondMicros));
    EXPECT_TRUE(loop.listen(at, [](auto) {}));
}

}  // namespace
}  // namespace gatetiller::sim
