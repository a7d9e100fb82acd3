#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

#include "base/await.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::net {
namespace {

struct End final : StreamEvents {
    void on_connected() override {
        connected = true;
    }
    void on_data(Buffer& in) override {
        if (take)
            got += in.size(), in.consume(in.size());
    }
    void on_sent() override {
        ++sent;
    }
    void on_closed(Closed how) override {
        closed = how;
    }
    bool connected = false, take = true;
    std::size_t got = 0;
    int sent = 0;
    std::optional<Closed> closed;
    std::unique_ptr<Stream> stream;
};

class LoopTest : public ::testing::Test {
protected:
    template <typename C>
    bool until(C condition) {
        return gatetiller::testing::await(loop, condition);
    }
    void join() {
        auto listening = loop.listen(*Address::parse("127.0.0.1:0"), [this](auto s) {
            server.stream = std::move(s);
            server.stream->events(server);
        });
        listener = std::move(*listening);
        client.stream = loop.connect(listener->address(), client, kSecondMicros);
        ASSERT_TRUE(until([&] {
            return client.connected && server.stream;
        }));
    }
    PollLoop loop{{.input = 64 * 1024}};
    End client, server;
    std::unique_ptr<Listener> listener;
};

TEST_F(LoopTest, AReaderThatDoesNotTakeHoldsBackItsPeerAndNothingIsLost) {
    join();
    server.take = false;
    const std::size_t size = 32 << 20;
    client.stream->send(std::string(size, 'x'));
    for (int i = 0; i < 200; ++i)
        loop.turn(kMillisecond);
    EXPECT_GT(client.stream->unsent(),
              size / 2);  // the kernel's buffers are full, and this side holds the rest
    EXPECT_EQ(client.sent, 0);
    server.take = true;
    server.stream->schedule_delivery();
    ASSERT_TRUE(until([&] {
        return server.got == size;
    }));
    EXPECT_EQ(client.sent, 1);
    EXPECT_EQ(client.stream->unsent(), 0u);
}

TEST_F(LoopTest, AStreamThatIsNotReadHearsOfTheEndOnceItIsReadAgain) {
    join();
    server.stream->read(false);
    client.stream->send("last words");
    for (int i = 0; i < 20; ++i)
        loop.turn(kMillisecond);
    client.stream.reset();
    for (int i = 0; i < 50; ++i)
        loop.turn(kMillisecond);
    EXPECT_EQ(server.got, 0u);
    server.stream->read(true);
    ASSERT_TRUE(until([&] {
        return server.closed.has_value();
    }));
    EXPECT_EQ(server.got, 10u);
}

TEST_F(LoopTest, ConnectingFailsInALaterTurnAndSaysHow) {
    join();
    const Address gone = listener->address();
    listener.reset();
    End refused;
    refused.stream = loop.connect(gone, refused, kSecondMicros);
    EXPECT_FALSE(refused.closed);
    ASSERT_TRUE(until([&] {
        return refused.closed.has_value();
    }));
    EXPECT_EQ(*refused.closed, Closed::refused);
}

TEST_F(LoopTest, TimersRingInOrderAfterWhatHasComeAndOneOfNoDelayDoesNotHoldUpTheLoop) {
    join();
    std::string order;
    loop.after(2 * kMillisecond, [&] {
        order += 'b';
    });
    loop.after(kMillisecond, [&] {
        order += 'a';
    });
    const auto never = loop.after(kMillisecond, [&] {
        order += 'x';
    });
    loop.cancel(never);
    loop.cancel(12345);
    ASSERT_TRUE(until([&] {
        return order.size() == 2;
    }));
    EXPECT_EQ(order, "ab");
    int again = 0;
    std::function<void()> self = [&] {
        ++again, loop.after(0, self);
    };
    self();
    const int before = again;
    loop.turn(0);
    EXPECT_LE(again, before + 1);
    // This process stood still while an answer came: it is heard before the time-out.
    client.stream->send("answer");
    loop.turn(0);
    bool late = false;
    loop.after(10 * kMillisecond, [&] {
        late = server.got == 0;
    });
    const timespec stall{0, 30'000'000};
    nanosleep(&stall, nullptr);
    loop.turn(0);
    EXPECT_FALSE(late);
    EXPECT_GE(loop.input_delay(), 25 * kMillisecond);
}

TEST_F(LoopTest, WhatCameWithNewConnectionsDuringAStallIsKnownToHaveWaited) {
    // Said before this loop ever saw the connection: whoever reads it must learn that it may be old, however
    // many came.
    struct Late final : StreamEvents {
        Late(PollLoop& l, std::unique_ptr<Stream> s) : loop(l), stream(std::move(s)) {
            stream->events(*this);
        }
        void on_data(Buffer& in) override {
            in.clear(), waited = loop.input_delay();
        }
        void on_closed(Closed) override {}
        PollLoop& loop;
        std::unique_ptr<Stream> stream;
        std::optional<Micros> waited;
    };
    std::vector<std::unique_ptr<Late>> late;
    auto door = loop.listen(*Address::parse("127.0.0.1:0"), [&](auto s) {
        late.push_back(std::make_unique<Late>(loop, std::move(s)));
    });
    loop.turn(0);
    PollLoop other;
    std::vector<std::unique_ptr<End>> ends;
    for (int i = 0; i < 150; ++i) {
        ends.push_back(std::make_unique<End>());
        ends.back()->stream = other.connect((*door)->address(), *ends.back(), kSecondMicros);
        ends.back()->stream->send("old");
    }
    for (int i = 0; i < 20; ++i)
        other.turn(kMillisecond);
    const timespec stall{0, 40'000'000};
    nanosleep(&stall, nullptr);
    ASSERT_TRUE(until([&] {
        return late.size() == 150 && std::all_of(late.begin(), late.end(), [](auto& l) {
                   return l->waited.has_value();
               });
    }));
    for (const auto& l : late)
        EXPECT_GE(*l->waited, 35 * kMillisecond);
}

// What waits for a connection, or for the next turn, can be taken back out of the middle, and never arrives.
TEST_F(LoopTest, WhatTheKernelHasNotTakenCanBeTakenBack) {
    auto listening = loop.listen(*Address::parse("127.0.0.1:0"), [this](auto s) {
        server.stream = std::move(s);
        server.stream->events(server);
    });
    listener = std::move(*listening);
    client.stream = loop.connect(listener->address(), client, kSecondMicros);
    const auto first = client.stream->send("one "), second = client.stream->send("two "),
               third = client.stream->send("three");
    EXPECT_EQ(client.stream->written(second), Written::none);
    EXPECT_TRUE(client.stream->cancel_send(second));
    ASSERT_TRUE(until([&] {
        return server.got == 9;
    }));
    EXPECT_EQ(client.stream->written(first), Written::all);
    EXPECT_FALSE(client.stream->cancel_send(third));
    const auto later = client.stream->send("in this turn");
    EXPECT_TRUE(client.stream->cancel_send(later));
    client.stream->send("!");
    ASSERT_TRUE(until([&] {
        return server.got > 9;
    }));
    for (int i = 0; i < 5; ++i)
        loop.turn(0);
    EXPECT_EQ(server.got, 10u);
}

// Behind a peer that reads nothing: what was begun can't be taken back, what stands behind it can.
TEST_F(LoopTest, WhatIsPartlyWrittenStaysAndWhatStandsBehindItDoesNot) {
    join();
    server.stream->read(false);
    const auto large = client.stream->send(std::string(32 << 20, 'x'));
    for (int i = 0; i < 50; ++i)
        loop.turn(0);
    const auto behind = client.stream->send("behind");
    loop.turn(0);
    EXPECT_EQ(client.stream->written(large), Written::partial);
    EXPECT_FALSE(client.stream->cancel_send(large));
    const std::size_t unsent = client.stream->unsent();
    EXPECT_TRUE(client.stream->cancel_send(behind));
    EXPECT_EQ(client.stream->unsent(), unsent - 6);
    // The peer ends over it: known to have been handed over in part, and nothing of what follows.
    const auto last = client.stream->send("last");
    server.stream.reset();
    ASSERT_TRUE(until([&] {
        return client.closed.has_value();
    }));
    EXPECT_EQ(client.stream->written(large), Written::partial);
    EXPECT_EQ(client.stream->written(last), Written::none);
}

// A close over unread bytes would be a reset, and take away what the peer has not read yet.
TEST_F(LoopTest, AGracefulCloseLosesNothingThatWasSaidBeforeIt) {
    join();
    client.take = false;  // does not read for now
    client.stream->read(false);
    const std::size_t size = 16 << 20;
    server.stream->send(std::string(size, 'x'));
    client.stream->send("a request that crosses the close");
    for (int i = 0; i < 20; ++i)
        loop.turn(0);
    const std::size_t heard = server.got;
    server.stream->finish();
    client.stream->send("and another one");
    for (int i = 0; i < 20; ++i)
        loop.turn(0);
    EXPECT_EQ(server.got, heard);  // read after the shutdown: dropped, nobody hears of it
    EXPECT_FALSE(server.closed);
    client.take = true;
    client.stream->read(true);
    ASSERT_TRUE(until([&] {
        return client.closed.has_value();
    }));
    EXPECT_EQ(*client.closed, Closed::by_peer);
    EXPECT_EQ(client.got, size);
    EXPECT_EQ(server.stream->send("too late"), 0u);
    client.stream.reset();
    ASSERT_TRUE(until([&] {
        return server.closed.has_value();
    }));
    EXPECT_EQ(*server.closed, Closed::by_peer);
}

// A peer that has said something and gone is heard to have done both before anything is done about the first.
TEST_F(LoopTest, AnEndBehindBytesIsHeardInTheSameTurn) {
    join();
    client.stream->send("request");
    client.stream.reset();
    ASSERT_TRUE(until([&] {
        return server.got == 7;
    }));
    EXPECT_TRUE(server.closed.has_value());
}

TEST_F(LoopTest, WhatHasComeCanBeReadAtOnceAndWhoeverWaitsInTheBacklogTakenIn) {
    join();
    PollLoop other;
    End late;
    listener->accept(false);
    late.stream = other.connect(listener->address(), late, kSecondMicros);
    late.stream->send("waits");
    ASSERT_TRUE(gatetiller::testing::await(other, [&] {
        return late.connected && late.sent == 1;
    }));
    server.stream.reset();
    client.closed.reset(), server.got = 0;
    listener->accept_pending(0);
    EXPECT_FALSE(server.stream);
    listener->accept_pending(8);
    ASSERT_TRUE(server.stream);
    EXPECT_EQ(server.got, 5u);
    late.stream->send("more");
    other.turn(0);
    while (server.got < 9)
        server.stream->read_now();
    listener.reset();
    EXPECT_FALSE(late.closed);
}

TEST_F(LoopTest, SignalsComeAsCalls) {
    int got = 0;
    ASSERT_TRUE(loop.on_signals({SIGUSR1}, [&](int s) {
        got = s;
    }));
    raise(SIGUSR1);
    EXPECT_TRUE(until([&] {
        return got == SIGUSR1;
    }));
}

TEST(Address, ReadsThreeFormsAndSaysWhatIsWrongWithOthers) {
    for (const char* text : {"127.0.0.1:80", "[::1]:80", "unix:/tmp/x"})
        EXPECT_EQ(Address::parse(text)->text(), text);
    for (const char* text : {"127.0.0.1", "host:80", "127.0.0.1:70000", "[::g]:1", "unix:", ""}) {
        const auto parsed = Address::parse(text);
        ASSERT_FALSE(parsed) << text;
        EXPECT_NE(parsed.error().find("forms:"), std::string::npos);
    }
}

}  // namespace
}  // namespace gatetiller::net
