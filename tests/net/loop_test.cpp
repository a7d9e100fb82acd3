#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

#include "base/await.hpp"
#include "net/input_budget.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::net {
namespace {

constexpr std::size_t kLargeInput = 1 << 20;

struct RecordingEvents final : StreamEvents {
    void on_connected() override {
        connected = true;
    }
    void on_data(Buffer& in) override {
        offered = in.size();
        if (consume)
            received += in.size(), in.consume(in.size());
    }
    void on_sent() override {
        ++sent;
    }
    void on_closed(Closed how) override {
        closed = how;
    }
    bool connected = false, consume = true;
    std::size_t received = 0, offered = 0;
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
    void connect_client() {
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
    RecordingEvents client, server;
    std::unique_ptr<Listener> listener;
};

TEST_F(LoopTest, UnconsumedInputAppliesBackPressureWithoutLoss) {
    connect_client();
    server.consume = false;
    const std::size_t size = 32 << 20;
    client.stream->send(std::string(size, 'x'));
    for (int i = 0; i < 200; ++i)
        loop.turn(kMillisecond);
    EXPECT_GT(client.stream->unsent(),
              size / 2);  // the kernel's buffers are full, the rest is buffered in the stream
    EXPECT_EQ(client.sent, 0);
    server.consume = true;
    server.stream->schedule_delivery();
    ASSERT_TRUE(until([&] {
        return server.received == size;
    }));
    EXPECT_EQ(client.sent, 1);
    EXPECT_EQ(client.stream->unsent(), 0u);
}

// Guards against input without limit from streams whose owner has no room, and against bytes lost meanwhile.
TEST_F(LoopTest, BuffersOnlyTheAllowanceWhileTheInputBudgetIsExceeded) {
    connect_client();
    InputBudget budget(0);
    budget.update(1, 1, false);
    server.stream->set_input_budget(budget);
    server.consume = false;
    client.stream->send(std::string(kLargeInput, 'x'));
    ASSERT_TRUE(until([&] {
        return server.offered == InputBudget::kAllowanceBytes;
    }));
    for (int i = 0; i < 20; ++i)
        loop.turn(kMillisecond);
    EXPECT_EQ(server.offered, InputBudget::kAllowanceBytes);
    server.consume = true;
    server.stream->schedule_delivery();
    budget.remove(1);
    ASSERT_TRUE(until([&] {
        return server.received == kLargeInput;
    }));
}

TEST_F(LoopTest, ReportsCloseAfterReadingIsEnabledAgain) {
    connect_client();
    server.stream->read(false);
    client.stream->send("last words");
    for (int i = 0; i < 20; ++i)
        loop.turn(kMillisecond);
    client.stream.reset();
    for (int i = 0; i < 50; ++i)
        loop.turn(kMillisecond);
    EXPECT_EQ(server.received, 0u);
    server.stream->read(true);
    ASSERT_TRUE(until([&] {
        return server.closed.has_value();
    }));
    EXPECT_EQ(server.received, 10u);
}

TEST_F(LoopTest, ReportsRefusedConnectionInALaterTurn) {
    connect_client();
    const Address closed_address = listener->address();
    listener.reset();
    RecordingEvents refused;
    refused.stream = loop.connect(closed_address, refused, kSecondMicros);
    EXPECT_FALSE(refused.closed);
    ASSERT_TRUE(until([&] {
        return refused.closed.has_value();
    }));
    EXPECT_EQ(*refused.closed, Closed::refused);
}

TEST_F(LoopTest, RunsTimersInOrderAfterInputAndZeroDelayTimersDoNotBlockTheLoop) {
    connect_client();
    std::string order;
    loop.after(2 * kMillisecond, [&] {
        order += 'b';
    });
    loop.after(kMillisecond, [&] {
        order += 'a';
    });
    const auto cancelled = loop.after(kMillisecond, [&] {
        order += 'x';
    });
    loop.cancel(cancelled);
    loop.cancel(12345);
    ASSERT_TRUE(until([&] {
        return order.size() == 2;
    }));
    EXPECT_EQ(order, "ab");
    int runs = 0;
    std::function<void()> self = [&] {
        ++runs, loop.after(0, self);
    };
    self();
    const int before = runs;
    loop.turn(0);
    EXPECT_LE(runs, before + 1);
    // A response that arrived while this process was stalled is processed before the time-out.
    client.stream->send("answer");
    loop.turn(0);
    bool timed_out_first = false;
    loop.after(10 * kMillisecond, [&] {
        timed_out_first = server.received == 0;
    });
    const timespec stall{0, 30'000'000};
    nanosleep(&stall, nullptr);
    loop.turn(0);
    EXPECT_FALSE(timed_out_first);
    EXPECT_GE(loop.input_delay(), 25 * kMillisecond);
}

TEST_F(LoopTest, InputDelayCoversNewConnectionsAcceptedAfterAStall) {
    // The bytes arrive before the loop accepts the connection; input_delay() must cover their wait for any
    // number of connections.
    struct DelayedStream final : StreamEvents {
        DelayedStream(PollLoop& l, std::unique_ptr<Stream> s) : loop(l), stream(std::move(s)) {
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
    std::vector<std::unique_ptr<DelayedStream>> delayed;
    auto accepting = loop.listen(*Address::parse("127.0.0.1:0"), [&](auto s) {
        delayed.push_back(std::make_unique<DelayedStream>(loop, std::move(s)));
    });
    loop.turn(0);
    PollLoop other;
    std::vector<std::unique_ptr<RecordingEvents>> ends;
    for (int i = 0; i < 150; ++i) {
        ends.push_back(std::make_unique<RecordingEvents>());
        ends.back()->stream = other.connect((*accepting)->address(), *ends.back(), kSecondMicros);
        ends.back()->stream->send("old");
    }
    for (int i = 0; i < 20; ++i)
        other.turn(kMillisecond);
    const timespec stall{0, 40'000'000};
    nanosleep(&stall, nullptr);
    ASSERT_TRUE(until([&] {
        return delayed.size() == 150 && std::all_of(delayed.begin(), delayed.end(), [](auto& d) {
                   return d->waited.has_value();
               });
    }));
    for (const auto& d : delayed)
        EXPECT_GE(*d->waited, 35 * kMillisecond);
}

// Bytes waiting for the connection or for the next turn can be cancelled in the middle and never arrive.
TEST_F(LoopTest, CancelsBytesNotYetAcceptedByTheKernel) {
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
        return server.received == 9;
    }));
    EXPECT_EQ(client.stream->written(first), Written::all);
    EXPECT_FALSE(client.stream->cancel_send(third));
    const auto later = client.stream->send("in this turn");
    EXPECT_TRUE(client.stream->cancel_send(later));
    client.stream->send("!");
    ASSERT_TRUE(until([&] {
        return server.received > 9;
    }));
    for (int i = 0; i < 5; ++i)
        loop.turn(0);
    EXPECT_EQ(server.received, 10u);
}

// With a peer that does not read, a partially written send cannot be cancelled, but a later one can.
TEST_F(LoopTest, CannotCancelAPartiallyWrittenSendButCanCancelTheNextOne) {
    connect_client();
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
    // After the peer closes, the first send is reported as partially written and the next one as not written.
    const auto last = client.stream->send("last");
    server.stream.reset();
    ASSERT_TRUE(until([&] {
        return client.closed.has_value();
    }));
    EXPECT_EQ(client.stream->written(large), Written::partial);
    EXPECT_EQ(client.stream->written(last), Written::none);
}

// Closing a socket with unread bytes would reset the connection and discard what the peer has not read yet.
TEST_F(LoopTest, GracefulCloseDeliversAllBytesSentBefore) {
    connect_client();
    client.consume = false;  // does not read yet
    client.stream->read(false);
    const std::size_t size = 16 << 20;
    server.stream->send(std::string(size, 'x'));
    client.stream->send("a request that crosses the close");
    for (int i = 0; i < 20; ++i)
        loop.turn(0);
    const std::size_t received_before = server.received;
    server.stream->finish();
    client.stream->send("and another one");
    for (int i = 0; i < 20; ++i)
        loop.turn(0);
    EXPECT_EQ(server.received, received_before);  // input after the shutdown is dropped
    EXPECT_FALSE(server.closed);
    client.consume = true;
    client.stream->read(true);
    ASSERT_TRUE(until([&] {
        return client.closed.has_value();
    }));
    EXPECT_EQ(*client.closed, Closed::by_peer);
    EXPECT_EQ(client.received, size);
    EXPECT_EQ(server.stream->send("too late"), 0u);
    client.stream.reset();
    ASSERT_TRUE(until([&] {
        return server.closed.has_value();
    }));
    EXPECT_EQ(*server.closed, Closed::by_peer);
}

// If a peer sends bytes and closes, both are reported before any response to the bytes is sent.
TEST_F(LoopTest, ReportsBytesAndTheFollowingCloseInTheSameTurn) {
    connect_client();
    client.stream->send("request");
    client.stream.reset();
    ASSERT_TRUE(until([&] {
        return server.received == 7;
    }));
    EXPECT_TRUE(server.closed.has_value());
}

TEST_F(LoopTest, ReadsAvailableBytesImmediatelyAndAcceptsPendingConnections) {
    connect_client();
    PollLoop other;
    RecordingEvents late;
    listener->accept(false);
    late.stream = other.connect(listener->address(), late, kSecondMicros);
    late.stream->send("waits");
    ASSERT_TRUE(gatetiller::testing::await(other, [&] {
        return late.connected && late.sent == 1;
    }));
    server.stream.reset();
    client.closed.reset(), server.received = 0;
    listener->accept_pending(0);
    EXPECT_FALSE(server.stream);
    listener->accept_pending(8);
    ASSERT_TRUE(server.stream);
    EXPECT_EQ(server.received, 5u);
    late.stream->send("more");
    other.turn(0);
    while (server.received < 9)
        server.stream->read_now();
    listener.reset();
    EXPECT_FALSE(late.closed);
}

TEST_F(LoopTest, DeliversSignalsToTheHandler) {
    int signal = 0;
    ASSERT_TRUE(loop.on_signals({SIGUSR1}, [&](int s) {
        signal = s;
    }));
    raise(SIGUSR1);
    EXPECT_TRUE(until([&] {
        return signal == SIGUSR1;
    }));
}

TEST(Address, ParsesThreeFormsAndReportsErrorsForOthers) {
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
