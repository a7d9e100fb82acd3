// The loop while system calls fail in the ways that Linux documents (the shim, linked in): what passes is
// waited out, what is final is told apart from it, and nothing spins.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <ctime>
#include <thread>

#include "base/await.hpp"
#include "base/stream_end.hpp"
#include "net/poll_loop.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::testing {
namespace {

using net::Closed;

// How long at most the first bytes of a stream had waited when they were read.
struct WaitingTime final : net::StreamEvents {
    WaitingTime(net::PollLoop& l, net::Stream& s) : loop(l), stream(s) {
        stream.events(*this);
    }
    void on_data(Buffer& in) override {
        if (!waited)
            waited = std::max(loop.input_delay(), stream.resource_delay());
        in.consume(in.size());
    }
    void on_closed(Closed) override {}
    net::PollLoop& loop;
    net::Stream& stream;
    std::optional<Micros> waited;
};

// A blocking socket, for what another process would say.
int connected_socket(const net::Address& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(address.port);
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
        return fd;
    ::close(fd);
    return -1;
}

class LoopFaults : public ::testing::Test {
protected:
    LoopFaults() {
        auto made = loop.listen(*net::Address::parse("127.0.0.1:0"), [this](std::unique_ptr<net::Stream> s) {
            s->events(server);
            server.stream = std::move(s);
        });
        EXPECT_TRUE(made) << made.error();
        listener = std::move(*made);
    }
    ~LoopFaults() override {
        control.heal();
    }
    void connect(Micros time_out = 10 * kSecondMicros) {
        client.stream = loop.connect(listener->address(), client, time_out);
    }
    void join() {
        connect();
        ASSERT_TRUE(await(loop, [&] {
            return client.connected && server.stream;
        }));
    }
    FaultControl& control = *gatetiller_fault_control();
    net::PollLoop loop;
    StreamEnd client, server;
    std::unique_ptr<net::Listener> listener;
};

TEST_F(LoopFaults, AConnectThatLacksSomethingOfThisMachineIsTriedAgain) {
    const std::pair<Call, int> lacking[] = {
        {Call::socket, EMFILE},   {Call::socket, ENFILE},         {Call::socket, ENOBUFS},
        {Call::socket, ENOMEM},   {Call::connect, EADDRNOTAVAIL}, {Call::connect, EAGAIN},
        {Call::connect, ENOBUFS}, {Call::connect, ENETUNREACH},   {Call::connect, EINTR},
    };
    for (const auto& [call, error] : lacking) {
        control.fail(call, error, 1000, 3);
        client.connected = false, client.closed.reset(), server.stream.reset();
        connect();
        EXPECT_TRUE(await(loop, [&] {
            return client.connected || client.closed;
        }));
        EXPECT_TRUE(client.connected)
            << kCallNames[static_cast<std::size_t>(call)] << " " << std::strerror(error);
    }
}

TEST_F(LoopFaults, WhatLastsHereIsToldApartFromARefusal) {
    control.fail(Call::connect, EADDRNOTAVAIL);
    connect(200 * kMillisecond);
    ASSERT_TRUE(await(loop, [&] {
        return client.closed.has_value();
    }));
    EXPECT_NE(client.closed, Closed::refused);
    EXPECT_NE(client.closed, Closed::connect_timed_out);
    // Not in every turn: a machine that lacks something is not asked thousands of times.
    EXPECT_LT(control.of(Call::connect).failed, 100u);
}

TEST_F(LoopFaults, ASendThatFailsForAMomentLosesNothing) {
    join();
    for (const int error : {ENOBUFS, ENOMEM, EINTR, EAGAIN}) {
        control.fail(Call::send, error, 1000, 5);
        server.received.clear();
        const std::string bytes(300'000, 'x');
        client.stream->send(bytes);
        EXPECT_TRUE(await(
            loop,
            [&] {
                return server.received.size() == bytes.size();
            },
            5 * kSecondMicros))
            << std::strerror(error) << ": " << server.received.size();
    }
    EXPECT_FALSE(client.closed);
}

TEST_F(LoopFaults, AReceiveThatFailsForAMomentEndsNothing) {
    join();
    for (const int error : {ENOMEM, ENOBUFS, EINTR, EAGAIN}) {
        control.fail(Call::recv, error, 1000, 5);
        server.received.clear();
        client.stream->send("some bytes");
        EXPECT_TRUE(await(
            loop,
            [&] {
                return server.received == "some bytes";
            },
            5 * kSecondMicros))
            << std::strerror(error);
    }
    EXPECT_FALSE(client.closed);
    EXPECT_FALSE(server.closed);
}

TEST_F(LoopFaults, AConnectionThatTheKernelHasGivenUpIsOver) {
    for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
        client.connected = false, client.closed.reset(), server.stream.reset(), server.closed.reset();
        join();
        control.fail(Call::recv, error, 1000, 1);
        client.stream->send("some bytes");
        EXPECT_TRUE(await(loop, [&] {
            return server.closed.has_value();
        })) << std::strerror(error);
        EXPECT_EQ(server.closed, Closed::reset);
    }
}

// The peer is not told that this side has given the connection up: nothing but the failed send says so.
TEST_F(LoopFaults, ASendThatFailsForGoodEndsTheConnection) {
    for (const int error : {EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH}) {
        client.connected = false, client.closed.reset(), server.stream.reset(), server.closed.reset();
        join();
        control.fail(Call::send, error, 1000, 1);
        client.stream->send("some bytes");
        EXPECT_TRUE(await(
            loop,
            [&] {
                return client.closed.has_value();
            },
            2 * kSecondMicros))
            << std::strerror(error);
        EXPECT_EQ(client.closed, Closed::reset) << std::strerror(error);
    }
}

// What the peer said before is the answer, it may be.
TEST_F(LoopFaults, WhatHadComeBeforeASendFailedIsStillHeard) {
    join();
    const std::string said(300'000, 'x');
    server.stream->send(said);
    for (int turns = 0; turns < 3; ++turns)
        loop.turn(0);
    control.fail(Call::send, EPIPE, 1000, 1);
    client.stream->send("some bytes");
    ASSERT_TRUE(await(
        loop,
        [&] {
            return client.received.size() == said.size();
        },
        2 * kSecondMicros))
        << client.received.size();
}

// Errors of one connection in the backlog, and of this machine, keep nobody else outside.
TEST_F(LoopFaults, AcceptGoesOnAfterEveryErrorThatItDocuments) {
    for (const int error : {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN,
                            EHOSTUNREACH, ENETUNREACH, EPERM}) {
        control.fail(Call::accept, error, 1000, 3);
        client.connected = false, client.closed.reset(), server.stream.reset();
        connect();
        EXPECT_TRUE(await(
            loop,
            [&] {
                return server.stream != nullptr;
            },
            5 * kSecondMicros))
            << std::strerror(error);
        control.heal();
    }
}

TEST_F(LoopFaults, WhoWaitsInTheBacklogIsTakenInAtTheEndWhateverAcceptSays) {
    for (const int error : {ECONNABORTED, EPROTO, ENETDOWN, EINTR, EMFILE, ENFILE, ENOBUFS}) {
        server.stream.reset();
        listener->accept(false);
        client.connected = false;
        connect();
        ASSERT_TRUE(await(loop, [&] {
            return client.connected;
        }));
        control.fail(Call::accept, error, 1000, 2);
        for (int i = 0; i < 5 && !server.stream; ++i)
            listener->accept_pending(10);
        EXPECT_TRUE(server.stream) << std::strerror(error);
        control.heal();
    }
}

TEST_F(LoopFaults, AFailingPollNeitherStopsNorSpinsTheLoop) {
    join();
    for (const int error : {EINTR, ENOMEM, EINVAL}) {
        const auto before = control.of(Call::poll).calls.load();
        control.fail(Call::poll, error, 1000, 20);
        server.received.clear();
        client.stream->send("some bytes");
        const Micros since = loop.now();
        EXPECT_TRUE(await(loop, [&] {
            return server.received == "some bytes";
        })) << std::strerror(error);
        EXPECT_TRUE(await(loop, [&] {
            return loop.now() - since > 50 * kMillisecond;
        }));
        EXPECT_LT(control.of(Call::poll).calls - before, 2000u) << std::strerror(error) << ": it spins";
        control.heal();
    }
}

TEST_F(LoopFaults, ShortReadsAndWritesChangeNothing) {
    join();
    control.short_per_mille = 900;
    std::string bytes;
    for (int i = 0; i < 4000; ++i)
        bytes += std::to_string(i) + " ";
    client.stream->send(bytes);
    server.stream->send(bytes);
    EXPECT_TRUE(await(loop, [&] {
        return server.received.size() >= bytes.size() && client.received.size() >= bytes.size();
    }));
    EXPECT_EQ(server.received, bytes);
    EXPECT_EQ(client.received, bytes);
}

// A process that stood still between a decision and its sending hears what has come meanwhile first.
TEST_F(LoopFaults, AfterAStallWhatHasComeIsHeardBeforeAnythingIsSent) {
    const int fd = connected_socket(listener->address());
    ASSERT_GE(fd, 0);
    ASSERT_TRUE(await(loop, [&] {
        return server.stream != nullptr;
    }));
    struct TakesBack final : net::StreamEvents {
        void on_data(Buffer& in) override {
            in.consume(in.size());
            taken = stream->cancel_send(id);
        }
        void on_closed(Closed) override {}
        net::Stream* stream = nullptr;
        net::SendId id = 0;
        std::optional<bool> taken;
    } owner;
    owner.stream = server.stream.get();
    server.stream->events(owner);
    owner.id = server.stream->send("too late");
    ASSERT_EQ(::send(fd, "gone", 4, 0), 4);
    const timespec stall{0, 60'000'000};
    ::nanosleep(&stall, nullptr);
    ASSERT_TRUE(await(loop, [&] {
        return owner.taken.has_value();
    }));
    EXPECT_TRUE(*owner.taken) << "sent before what had come was heard";
    server.stream.reset();
    ::close(fd);
}

// A process that is stopped as poll returns has a snapshot from before: what came meanwhile is found by the
// next poll, and has waited all the same.
TEST_F(LoopFaults, AStallBehindAPollIsCountedForWhatTheNextOneFinds) {
    StreamEnd other;
    auto second = loop.listen(*net::Address::parse("127.0.0.1:0"), [&](std::unique_ptr<net::Stream> s) {
        s->events(other);
        other.stream = std::move(s);
    });
    ASSERT_TRUE(second);
    const int fd = connected_socket((*second)->address());
    ASSERT_GE(fd, 0);
    join();
    ASSERT_TRUE(await(loop, [&] {
        return other.stream != nullptr;
    }));
    WaitingTime reader(loop, *other.stream);
    client.stream->send("wakes the loop");
    control.stall_after_poll_us = 150'000;
    std::thread sender([&] {
        while (control.stall_after_poll_us != 0)
            std::this_thread::yield();  // the stall has begun
        EXPECT_EQ(::send(fd, "request", 7, MSG_NOSIGNAL), 7);
    });
    EXPECT_TRUE(await(loop, [&] {
        return reader.waited.has_value();
    }));
    sender.join();
    EXPECT_GE(reader.waited.value_or(0), 100 * kMillisecond);
    other.stream.reset();
    ::close(fd);
}

// What waited through a stall of this process and then through a read that failed has waited through both.
TEST_F(LoopFaults, AStallBeforeAReadThatFailsIsNotForgotten) {
    join();
    WaitingTime reader(loop, *server.stream);
    loop.after(0, [this] {
        client.stream->send("request");
        client.stream.reset();  // written out at once
        const timespec stall{0, 120'000'000};
        ::nanosleep(&stall, nullptr);
        control.fail(Call::recv, ENOMEM, 1000, 1);
    });
    ASSERT_TRUE(await(loop, [&] {
        return reader.waited.has_value();
    }));
    EXPECT_GE(*reader.waited, 100 * kMillisecond);
}

// An answer that can't be written yet is no reason to leave unread what the peer says meanwhile.
TEST_F(LoopFaults, ASendThatLacksMemoryKeepsNothingFromBeingRead) {
    const int fd = connected_socket(listener->address());
    ASSERT_GE(fd, 0);
    ASSERT_TRUE(await(loop, [&] {
        return server.stream != nullptr;
    }));
    control.fail(Call::send, ENOBUFS);
    server.stream->send("answer");
    ASSERT_TRUE(await(loop, [&] {
        return control.of(Call::send).failed > 0;
    }));
    ASSERT_EQ(::write(fd, "request", 7), 7);
    EXPECT_TRUE(await(
        loop,
        [&] {
            return server.received == "request";
        },
        kSecondMicros));
    // Nor does it make the loop spin.
    EXPECT_LT(control.of(Call::send).failed, 1000u);
    control.heal();
    EXPECT_TRUE(await(loop, [&] {
        return server.stream->unsent() == 0;
    }));
    server.stream.reset();
    ::close(fd);
}

// While the kernel can't poll for want of memory, what comes waits as it does through a stall.
TEST_F(LoopFaults, TimeInWhichPollingFailedIsCounted) {
    join();
    WaitingTime reader(loop, *server.stream);
    control.fail(Call::poll, ENOMEM);
    client.stream->send("request");
    loop.after(200 * kMillisecond, [this] {
        control.heal();
    });
    ASSERT_TRUE(await(loop, [&] {
        return reader.waited.has_value();
    }));
    EXPECT_GE(*reader.waited, 150 * kMillisecond);
}

// What a connection that has just come up carries was decided before: a list that has come meanwhile is heard
// first, also where the process stood still behind the poll that told of the connection.
class HeardFirst : public LoopFaults, public net::StreamEvents {
protected:
    void on_data(Buffer& in) override {
        in.consume(in.size());
    }
    void on_sending(std::size_t) override {
        order += "sending ";
    }
    void on_closed(Closed) override {}
    void expect_the_datagram_first() {
        ASSERT_TRUE(await(loop, [&] {
            return order.size() >= std::strlen("sending datagram ");
        }));
        EXPECT_EQ(order, "datagram sending ");
    }
    std::string order;
    const net::Address any = *net::Address::parse("127.0.0.1:0");
};

TEST_F(HeardFirst, ADatagramThatIsThereWhenAConnectionComesUp) {
    const auto stream = loop.connect(listener->address(), *this, 10 * kSecondMicros);
    stream->send("request");
    auto to = loop.datagrams(any, [&](const net::Address&, std::string_view) {
        order += "datagram ";
    });
    auto from = loop.datagrams(any, [](const net::Address&, std::string_view) {});
    ASSERT_TRUE(to && from);
    (*from)->send((*to)->address(), "list");
    expect_the_datagram_first();
}

TEST_F(HeardFirst, ADatagramThatComesWhileTheProcessStandsStillBehindAPoll) {
    auto to = loop.datagrams(any, [&](const net::Address&, std::string_view) {
        order += "datagram ";
    });
    auto from = loop.datagrams(any, [](const net::Address&, std::string_view) {});
    ASSERT_TRUE(to && from);
    control.stall_after_poll_us = 150'000;
    std::thread service([&] {
        while (control.stall_after_poll_us != 0)
            std::this_thread::yield();  // the stall has begun
        (*from)->send((*to)->address(), "list");
    });
    const auto stream = loop.connect(listener->address(), *this, 10 * kSecondMicros);
    stream->send("request");
    expect_the_datagram_first();
    service.join();
}

}  // namespace
}  // namespace gatetiller::testing
