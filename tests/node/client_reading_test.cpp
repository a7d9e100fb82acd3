// Clients that read their responses, and clients that do not, over loopback sockets.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "base/await.hpp"
#include "net/poll_loop.hpp"
#include "node/client_sessions.hpp"
#include "raw_socket.hpp"

namespace gatetiller::testing {
namespace {

constexpr std::size_t kMaxOpenRequests = decide::ClientSequenceNumbers::kMaxOpen;
// The platform's limit is 48,000 bytes.
constexpr std::size_t kResultBytes = 47'520;

class ClientReading : public ::testing::Test {
protected:
    ClientReading() : sessions(loop, decide::derive_limits(256, 32), session_events()) {
        address = *sessions.listen(*net::Address::parse("127.0.0.1:0"));
    }
    node::ClientSessions::Events session_events() {
        node::ClientSessions::Events events;
        events.on_request = [this](node::ClientId id, const thrift::Call& call, Micros) {
            requests.emplace_back(id, call.seq);
        };
        events.on_discarded = [](node::ClientId, std::int32_t) {};
        events.on_cancelled = [](node::ClientId, std::int32_t) {};
        events.on_closed = [](node::ClientId, const std::string&, decide::CloseReason,
                              const decide::ClosingContext&) {};
        events.on_violation = [this](decide::Invariant, node::ClientId) {
            ++violations;
        };
        return events;
    }
    // Sends as many requests as a client may have open, and waits until they have arrived or the client was
    // closed.
    void send_all_requests(RawSocket& client) {
        std::string calls;
        for (std::size_t i = 0; i < kMaxOpenRequests; ++i)
            calls += thrift::process_call(++last_sequence, {{"route", "lookup"}}, "SELECT 1");
        client.send(calls);
        ASSERT_TRUE(await(loop, [&] {
            return requests.size() == kMaxOpenRequests || slow_readers() > 0;
        }));
    }
    // Answers all requests within one turn of the loop, with the largest results.
    void answer_all() {
        for (const auto& [id, sequence] : requests)
            sessions.respond(id, sequence,
                             thrift::answer("process", sequence, std::string(kResultBytes, 'x')));
        requests.clear();
    }
    std::uint64_t slow_readers() const {
        return sessions.counters().closed[static_cast<std::size_t>(decide::CloseReason::slow_reader)];
    }

    net::PollLoop loop;
    std::vector<std::pair<node::ClientId, std::int32_t>> requests;
    std::int32_t last_sequence = 0;
    int violations = 0;
    node::ClientSessions sessions;
    net::Address address;
};

// Guards against closing, as a slow reader, a client that reads all the time and whose large results end in
// one turn of the loop (review case 2).
TEST_F(ClientReading, AClientThatReadsGetsAllLargeResultsThatEndInOneTurn) {
    RawSocket client;
    client.connect(address);
    send_all_requests(client);
    answer_all();
    ASSERT_TRUE(await(loop, [&] {
        return !client.read() || client.received.size() > kMaxOpenRequests * kResultBytes;
    }));
    EXPECT_EQ(slow_readers(), 0u);
    EXPECT_GT(client.received.size(), kMaxOpenRequests * kResultBytes);
    EXPECT_EQ(sessions.connections(), 1u);
}

// The stated time for which a client may take no byte is 2 s.
TEST_F(ClientReading, AClientThatPausesForASecondGetsAllItsResults) {
    constexpr int kRounds = 2;
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(address);
    for (int round = 0; round < kRounds; ++round) {
        send_all_requests(client);
        answer_all();
    }
    const Micros resumes = loop.now() + kSecondMicros;
    ASSERT_TRUE(await(loop, [&] {
        return loop.now() >= resumes;
    }));
    ASSERT_TRUE(await(loop, [&] {
        return !client.read() || client.received.size() > kRounds * kMaxOpenRequests * kResultBytes;
    }));
    EXPECT_EQ(slow_readers(), 0u);
    EXPECT_GT(client.received.size(), kRounds * kMaxOpenRequests * kResultBytes);
}

TEST_F(ClientReading, AClientThatReadsNoneOfManyResultsIsClosed) {
    constexpr int kMaxRounds = 10;  // 15 MB, more than the kernel's buffers and the limit hold
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(address);
    for (int round = 0; round < kMaxRounds && slow_readers() == 0; ++round) {
        send_all_requests(client);
        answer_all();
    }
    EXPECT_EQ(slow_readers(), 1u);
    EXPECT_EQ(sessions.connections(), 0u);
    EXPECT_EQ(violations, 0);
}

// Guards against closing a client on a slow line, which reads all the time, because its messages wait: the
// kernel takes no more bytes for longer than 2 s, while the client acknowledges some all the time.
TEST_F(ClientReading, AClientThatReadsSlowlyIsNotClosedWhileItsMessagesWait) {
    constexpr Micros kReadInterval = 200 * kMillisecond;  // some 2 KB each time
    constexpr Micros kDuration = 6 * kSecondMicros;
    std::string probes;
    for (int sequence = 1; sequence <= 400'000; ++sequence)
        probes += thrift::probe_call(sequence);
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(address);
    ASSERT_TRUE(await(loop, [&] {
        return client.connected();
    }));
    std::size_t sent = 0;
    ASSERT_TRUE(await(loop, [&] {
        sent += client.send_some(std::string_view(probes).substr(sent));
        return sessions.unsent_bytes() > 4'096;
    }));
    const Micros end = loop.now() + kDuration;
    Micros next_read = loop.now();
    ASSERT_TRUE(await(loop, [&] {
        sent += client.send_some(std::string_view(probes).substr(sent));
        if (loop.now() >= next_read) {
            client.read();
            next_read = loop.now() + kReadInterval;
        }
        return loop.now() >= end;
    }));
    EXPECT_EQ(slow_readers(), 0u);
    EXPECT_EQ(sessions.connections(), 1u);
}

// Guards against memory that grows without limit for a client whose calls need no engine.
TEST_F(ClientReading, AClientThatSendsProbesAndReadsNothingIsClosed) {
    std::string probes;
    for (int sequence = 1; sequence <= 1000; ++sequence)
        probes += thrift::probe_call(sequence);
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(address);
    ASSERT_TRUE(await(loop, [&] {
        return client.connected();
    }));
    std::size_t sent = 0;  // of `probes`, which are sent over and over
    ASSERT_TRUE(await(loop, [&] {
        sent = (sent + client.send_some(std::string_view(probes).substr(sent))) % probes.size();
        return slow_readers() == 1;
    }));
    EXPECT_EQ(sessions.connections(), 0u);
}

}  // namespace
}  // namespace gatetiller::testing
