// What clients make a front node hold before their messages are complete, over loopback sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "base/await.hpp"
#include "net/poll_loop.hpp"
#include "node/client_sessions.hpp"
#include "raw_socket.hpp"

namespace gatetiller::testing {
namespace {

constexpr std::int64_t kMemoryMb = 4;
constexpr std::size_t kClients = 24;  // with messages of 48 KB, over four times the limit on input
constexpr std::size_t kLargeBodyBytes = 48'000;

class ClientInput : public ::testing::Test {
protected:
    ClientInput() : sessions(loop, limits, session_events()) {
        address = *sessions.listen(*net::Address::parse("127.0.0.1:0"));
    }
    node::ClientSessions::Events session_events() {
        node::ClientSessions::Events events;
        events.on_request = [this](node::ClientId id, const thrift::Call& call, Micros) {
            bodies.push_back(call.body);
            sessions.respond(id, call.seq, thrift::answer("process", call.seq, "row"));
        };
        events.on_discarded = [this](node::ClientId id, std::int32_t sequence) {
            sessions.respond(id, sequence, thrift::rejected(sequence, {}) + rejection_padding);
        };
        events.on_cancelled = [](node::ClientId, std::int32_t) {};
        events.on_closed = [](node::ClientId, const std::string&, decide::CloseReason,
                              const decide::ClosingContext&) {};
        events.on_violation = [this](decide::Invariant, node::ClientId) {
            ++violations;
        };
        return events;
    }
    static std::string request(std::int32_t sequence, std::string_view body) {
        return thrift::process_call(sequence, {{"route", "lookup"}}, body);
    }
    // Connects clients that each send `part`.
    void send_to_all(std::string_view part, std::size_t count = kClients) {
        for (std::size_t i = 0; i < count; ++i) {
            clients.push_back(std::make_unique<RawSocket>());
            clients.back()->connect(address);
            ASSERT_TRUE(await(loop, [&] {
                return clients.back()->connected();
            }));
        }
        std::vector<std::size_t> sent(count, 0);
        ASSERT_TRUE(await(loop, [&] {
            bool all = true;
            for (std::size_t i = 0; i < count; ++i) {
                sent[i] += clients[i]->send_some(part.substr(sent[i]));
                all = all && sent[i] == part.size();
            }
            most_held = std::max(most_held, sessions.input_bytes());
            return all;
        }));
    }
    bool is_answered(RawSocket& client) {
        return await(loop, [&] {
            most_held = std::max(most_held, sessions.input_bytes());
            return !client.read() || !client.received.empty();
        });
    }
    // All connections may hold this much, whatever they send.
    std::size_t bound() const {
        return limits.input_bytes + sessions.connections() * net::InputBudget::kAllowanceBytes +
               2 * kLargeBodyBytes;
    }

    net::PollLoop loop{{.input = 98'304}};
    const decide::ResourceLimits limits = decide::derive_limits(256, kMemoryMb);
    std::string rejection_padding;
    std::vector<std::string> bodies;
    std::vector<std::unique_ptr<RawSocket>> clients;
    std::size_t most_held = 0;
    int violations = 0;
    node::ClientSessions sessions;
    net::Address address;
};

// Guards against a node that is killed for memory because many clients send messages without end (review case
// 10).
TEST_F(ClientInput, ManyUnfinishedMessagesStayWithinTheLimitAndOthersAreServed) {
    const std::string large = request(1, std::string(kLargeBodyBytes, 'x'));
    send_to_all(std::string_view(large).substr(0, large.size() - 1));
    RawSocket ordinary;
    ordinary.connect(address);
    ordinary.send(request(1, "SELECT 1"));
    ASSERT_TRUE(is_answered(ordinary));
    EXPECT_EQ(bodies, std::vector<std::string>{"SELECT 1"});
    EXPECT_LE(most_held, bound());
    EXPECT_TRUE(await(loop, [&] {
        return sessions.counters().discarded > kClients / 2;
    }));
    EXPECT_EQ(violations, 0);
}

// Guards against losing a request, or the one after it, whose first part was discarded.
TEST_F(ClientInput, DiscardedRequestIsRejectedAtItsEndAndTheNextIsServed) {
    const std::string large = request(1, std::string(kLargeBodyBytes, 'x'));
    send_to_all(std::string_view(large).substr(0, large.size() - 1));
    ASSERT_TRUE(await(loop, [&] {
        return sessions.counters().discarded > kClients / 2;
    }));
    const std::string rest = large.substr(large.size() - 1) + request(2, "SELECT 2");
    for (const auto& client : clients)
        client->send(rest);
    ASSERT_TRUE(await(loop, [&] {
        return bodies.size() == kClients + (kClients - sessions.counters().discarded);
    }));
    std::size_t rejected = 0;
    for (const auto& client : clients) {
        const std::string both = thrift::rejected(1, {}) + thrift::answer("process", 2, "row");
        ASSERT_TRUE(await(loop, [&] {
            return !client->read() || client->received.size() >= both.size();
        }));
        rejected += client->received == both ? 1 : 0;
    }
    EXPECT_EQ(rejected, sessions.counters().discarded);
    EXPECT_EQ(sessions.connections(), kClients);
    EXPECT_EQ(sessions.input_bytes(), 0u);
    EXPECT_EQ(violations, 0);
}

// Guards against a request that waits, neither read nor discarded, for other clients' unfinished messages to
// time out.
TEST_F(ClientInput, ALongRequestIsAnsweredWhileManyClientsHoldTheirAllowance) {
    const std::size_t holders = limits.input_bytes / net::InputBudget::kAllowanceBytes + 1;
    const std::string large = request(1, std::string(kLargeBodyBytes, 'x'));
    send_to_all(std::string_view(large).substr(0, net::InputBudget::kAllowanceBytes), holders);
    RawSocket ordinary;
    ordinary.connect(address);
    ASSERT_TRUE(await(loop, [&] {
        return ordinary.connected();
    }));
    std::size_t sent = 0;
    ASSERT_TRUE(await(loop, [&] {
        sent += ordinary.send_some(std::string_view(large).substr(sent));
        return !ordinary.read() || !ordinary.received.empty();
    }));
    EXPECT_EQ(sessions.connections(), holders + 1);
    EXPECT_EQ(sessions.counters().overdue, 0u);
}

// Guards against the use of a connection that the rejection of its discarded request has closed.
TEST_F(ClientInput, RejectionOfADiscardedRequestMayCloseItsConnection) {
    rejection_padding = std::string(limits.max_unsent_bytes + 1, 'x');
    const std::string large = request(1, std::string(kLargeBodyBytes, 'x'));
    send_to_all(std::string_view(large).substr(0, large.size() - 1));
    ASSERT_TRUE(await(loop, [&] {
        return sessions.counters().discarded > kClients / 2;
    }));
    for (const auto& client : clients)
        client->send(large.substr(large.size() - 1) + request(2, "SELECT 2"));
    ASSERT_TRUE(await(loop, [&] {
        const auto slow_readers =
            sessions.counters().closed[static_cast<std::size_t>(decide::CloseReason::slow_reader)];
        return slow_readers > kClients / 2 && 2 * sessions.connections() == bodies.size();
    }));
}

// Guards against input without limit from many clients that send hundreds of small messages at once.
TEST_F(ClientInput, ManySmallMessagesAtOnceStayWithinTheLimit) {
    constexpr std::int32_t kAnswersEach = 4'000;
    std::string probes;
    for (std::int32_t sequence = 1; sequence <= kAnswersEach; ++sequence)
        probes += thrift::probe_call(sequence);
    send_to_all(probes);
    const std::size_t answered_bytes = kAnswersEach * thrift::answer("probe", 1, {}).size();
    ASSERT_TRUE(await(loop, [&] {
        most_held = std::max(most_held, sessions.input_bytes());
        return std::ranges::all_of(clients, [&](const auto& client) {
            client->read();
            return client->received.size() == answered_bytes;
        });
    }));
    EXPECT_LE(most_held, bound());
    EXPECT_EQ(sessions.input_bytes(), 0u);
    EXPECT_EQ(sessions.counters().discarded, 0u);
}

// Guards against a node that is killed for memory because many clients send calls that are answered at once,
// and read nothing (review case 10).
TEST_F(ClientInput, AnswersToClientsThatDoNotReadStayWithinTheLimit) {
    constexpr std::size_t kDeafClients = 2;  // each fills the kernel's buffers, which takes seconds sanitized
    constexpr std::size_t kKernelBuffersBytes = std::size_t{8} << 20;  // more than hold answers of one client
    constexpr std::size_t kMaxUnsentOfOne = 8'192;                     // 4 KiB, and the answers of one turn
    std::string probes;
    for (std::int32_t sequence = 1; sequence <= 4'000; ++sequence)
        probes += thrift::probe_call(sequence);
    for (std::size_t i = 0; i < kDeafClients; ++i) {
        clients.push_back(std::make_unique<RawSocket>());
        clients.back()->shrink_receive_buffer();
        clients.back()->connect(address);
        ASSERT_TRUE(await(loop, [&] {
            return clients.back()->connected();
        }));
    }
    std::vector<std::size_t> sent(kDeafClients, 0);
    std::size_t most_unsent = 0;
    const auto slow_readers = [&] {
        return sessions.counters().closed[static_cast<std::size_t>(decide::CloseReason::slow_reader)];
    };
    ASSERT_TRUE(await(loop, [&] {
        for (std::size_t i = 0; i < kDeafClients; ++i)
            if (sent[i] < kKernelBuffersBytes)
                sent[i] += clients[i]->send_some(std::string_view(probes).substr(sent[i] % probes.size()));
        most_unsent = std::max(most_unsent, sessions.unsent_bytes());
        return slow_readers() == kDeafClients;
    }));
    EXPECT_LE(most_unsent, kDeafClients * kMaxUnsentOfOne);
    EXPECT_EQ(sessions.unsent_bytes(), 0u);
    EXPECT_EQ(sessions.connections(), 0u);
}

// Guards against messages that wait for good behind answers that their client has read meanwhile.
TEST_F(ClientInput, MessagesThatWaitedAreAnsweredOnceTheirClientReads) {
    constexpr std::int32_t kProbes = 200'000;
    std::string calls;
    for (std::int32_t sequence = 1; sequence <= kProbes; ++sequence)
        calls += thrift::probe_call(sequence);
    calls += request(1, "SELECT 1");
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(address);
    ASSERT_TRUE(await(loop, [&] {
        return client.connected();
    }));
    std::size_t sent = 0;
    std::size_t most_unsent = 0;
    const auto send_and_look = [&] {
        sent += client.send_some(std::string_view(calls).substr(sent));
        most_unsent = std::max(most_unsent, sessions.unsent_bytes());
    };
    ASSERT_TRUE(await(loop, [&] {
        send_and_look();
        return sessions.unsent_bytes() > net::InputBudget::kAllowanceBytes;
    }));
    ASSERT_TRUE(await(loop, [&] {
        send_and_look();
        return !client.read() || !bodies.empty();
    }));
    EXPECT_EQ(bodies, std::vector<std::string>{"SELECT 1"});
    EXPECT_LE(most_unsent, 2 * net::InputBudget::kAllowanceBytes);
    EXPECT_EQ(sessions.connections(), 1u);
}

// Guards against a head that can't be read and whose message is never complete.
TEST_F(ClientInput, DiscardedMessageThatIsNoCallEndsItsConnection) {
    std::string large = request(1, std::string(kLargeBodyBytes, 'x'));
    large[4] = 'x';
    send_to_all(std::string_view(large).substr(0, large.size() - 1));
    ASSERT_TRUE(await(loop, [&] {
        most_held = std::max(most_held, sessions.input_bytes());
        return sessions.counters().malformed > kClients / 2;
    }));
    EXPECT_LE(most_held, bound());
}

}  // namespace
}  // namespace gatetiller::testing
