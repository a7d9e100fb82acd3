// The status of requests after the end of a connection to an engine, and the bytes that never arrive there.
#include "node/engine_connections.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "base/await.hpp"
#include "base/loop_clocks.hpp"
#include "net/poll_loop.hpp"
#include "raw_socket.hpp"
#include "recorded_exchange.hpp"
#include "resp/resp.hpp"

namespace gatetiller::testing {
namespace {

using Status = decide::ExchangeResult::Status;

// Many large requests on one connection to an engine that reads nothing: the first are in the kernel's
// buffer, the last wait behind them. The connection's clock stands still unless a test moves it: on a busy
// machine a real one passes the limit on partly sent requests before the engine has read them all.
class NonReadingEngine : public ::testing::Test {
protected:
    void SetUp() override {
        raw.shrink_receive_buffer();
        const auto address = raw.listen(16);
        decide::ConnectionLimits limits{.max_connections = 1, .max_streams = 10'000};
        pool.set_max_connections(1);
        connections = std::make_unique<node::EngineConnections>(clock, address, limits, pool);
        for (int i = 0; i < 300; ++i) {
            events.push_back(std::make_unique<RecordedEvents>());
            exchanges.push_back(
                connections->send_request(permit(), "id-" + std::to_string(i) + ".", *events.back()));
        }
        ASSERT_TRUE(await(loop, [&] {
            return (peer = raw.accept()) != nullptr;
        }));
        for (int i = 0; i < 50; ++i)
            loop.turn(0);
    }
    // The longest time for which a request may be partly sent.
    static constexpr Micros kPartialWriteLimit = 120 * kMillisecond;
    net::PollLoop loop;
    LoopWithManualClock clock{loop};
    RawSocket raw;
    std::unique_ptr<RawSocket> peer;
    node::ConnectionPool pool{loop};
    std::vector<std::unique_ptr<RecordedEvents>> events;
    std::vector<std::unique_ptr<node::Exchange>> exchanges;
    std::unique_ptr<node::EngineConnections> connections;
};

TEST_F(NonReadingEngine, WithdrawsWaitingRequestsWithoutSendingAnything) {
    EXPECT_FALSE(exchanges.front()->withdraw_unsent());  // in the kernel's buffer
    EXPECT_TRUE(exchanges[298]->withdraw_unsent());
    exchanges[299]->set_priority(3);
    exchanges[299].reset();  // cancelled: neither the request nor its change of priority is sent
    exchanges[297]->set_priority(2);
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return peer->received.find("bump") != std::string::npos;
    }));
    EXPECT_NE(peer->received.find("id-297."), std::string::npos);
    EXPECT_EQ(peer->received.find("id-298."), std::string::npos);
    EXPECT_EQ(peer->received.find("id-299."), std::string::npos);
    EXPECT_EQ(peer->received.find("undo"), std::string::npos);
}

// The rest of a request cancelled while partly sent must not follow: its attempt would begin long after its
// client has disconnected.
TEST_F(NonReadingEngine, RequestCancelledWhilePartlySentNeverArrivesCompletely) {
    // Requests that can't be withdrawn are completely or partly in the kernel's buffer: cancel all of them.
    for (auto& e : exchanges)
        if (!e->withdraw_unsent())
            e.reset();
    ASSERT_TRUE(await(loop, [&] {
        const bool open = peer->read();
        return !open || connections->size() == 0;
    }));
    for (int i = 0; i < 50; ++i)
        loop.turn(kMillisecond);
    peer->read();
    // Complete requests were written before the cancellation; only the end of the data may be a partial one.
    std::vector<std::string_view> words;
    std::size_t size = 0;
    std::string_view rest = peer->received;
    while (resp::read_array(rest, {4, 64 * 1024}, words, size) == resp::ParseStatus::complete)
        rest.remove_prefix(size);
    EXPECT_EQ(rest.find("undo"), std::string_view::npos);
    EXPECT_EQ(rest.find("\r\n*"), std::string_view::npos) << "bytes followed a partly sent request";
    EXPECT_EQ(connections->size(), 0u);
}

// Bytes of cancelled requests that the kernel still holds, because the engine has not acknowledged them,
// would begin an attempt when that engine reads again: seconds after its drain grace or after the client has
// disconnected.
TEST_F(NonReadingEngine, UnacknowledgedBytesOfCancelledRequestsNeverArrive) {
    for (auto& e : exchanges)
        e.reset();
    ASSERT_TRUE(await(loop, [&] {
        return connections->size() == 0;
    }));
    ASSERT_TRUE(await(loop, [&] {
        return !peer->read();
    }));
    EXPECT_TRUE(peer->reset);
    EXPECT_LT(peer->received.size(), 200'000u) << "more than fits into the engine's receive buffer";
}

// The permit of a request is checked when its first byte is written to the kernel, however recently the
// request was queued.
TEST(EngineConnectionsTest, DoesNotSendRequestThatMayNoLongerBeginOnceConnected) {
    net::PollLoop loop;
    RawSocket raw;
    node::ConnectionPool pool{loop};
    node::EngineConnections connections(loop, raw.listen(16), {.max_connections = 1, .max_streams = 10},
                                        pool);
    RecordedEvents first, second;
    const auto a = connections.send_request(permit(), "id-a.", first),
               b = connections.send_request(permit(), "id-b.", second);
    first.allowed = false;
    std::unique_ptr<RawSocket> peer;
    ASSERT_TRUE(await(loop, [&] {
        return (peer = raw.accept()) != nullptr;
    }));
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return first.status && peer->received.find("id-b.") != std::string::npos;
    }));
    EXPECT_EQ(first.status, Status::not_sent);
    EXPECT_EQ(peer->received.find("id-a."), std::string::npos);
}

// Guards against the rest of a request that follows its first bytes so late that the time left in them is out
// of date.
TEST_F(NonReadingEngine, RequestPartlySentForTooLongEndsTheConnection) {
    clock.time += kPartialWriteLimit + 1;
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return events.back()->status.has_value();
    }));
    EXPECT_EQ(events.back()->detail, "a request was partly sent for too long");
    EXPECT_EQ(events.back()->status, Status::not_sent);
    EXPECT_EQ(connections->size(), 0u);
    ASSERT_TRUE(await(loop, [&] {
        return !peer->read();
    }));
    EXPECT_EQ(peer->received.find("id-299."), std::string::npos);
}

// A request carries its time left at sending, also after waiting for an engine that reads nothing for a
// while.
TEST_F(NonReadingEngine, RewritesWaitingRequestsWhenTheyAreSent) {
    for (const auto& e : events)
        e->body = std::string(40'000, 'y');
    clock.time += kPartialWriteLimit;
    ASSERT_TRUE(await(loop, [&] {
        peer->read();
        return peer->received.find("id-299.") != std::string::npos && peer->received.ends_with("y\r\n");
    }));
    EXPECT_GT(pool.rewritten, 0u);
    const auto last = peer->received.rfind("id-299.");
    EXPECT_EQ(peer->received.find('x', last), std::string::npos);
    // All requests arrive in order, each once.
    std::size_t at = 0;
    for (int i = 0; i < 300; ++i) {
        const std::string id = "id-" + std::to_string(i) + ".";
        const auto found = peer->received.find(id, at);
        ASSERT_NE(found, std::string::npos) << id;
        at = found + id.size();
        EXPECT_EQ(peer->received.find(id, at), std::string::npos) << id << " twice";
    }
}

TEST_F(NonReadingEngine, ResetMarksWrittenRequestsLostAndUnsentRequestsNotSent) {
    peer->close();  // with unread bytes, so a reset
    ASSERT_TRUE(await(loop, [&] {
        return std::all_of(events.begin(), events.end(), [](const auto& e) {
            return e->status.has_value();
        });
    }));
    EXPECT_EQ(events.front()->status, Status::connection_lost);
    EXPECT_EQ(events.back()->status, Status::not_sent);
    // In sending order: all requests that may have been executed before all that can't have been.
    const auto first_unsent = std::find_if(events.begin(), events.end(), [](const auto& e) {
        return e->status == Status::not_sent;
    });
    for (auto e = events.begin(); e != events.end(); ++e)
        EXPECT_EQ((*e)->status, e < first_unsent ? Status::connection_lost : Status::not_sent);
}

TEST_F(NonReadingEngine, MalformedResponseMarksUnsentRequestsNotSent) {
    peer->send("*1\r\n$-7\r\n");
    ASSERT_TRUE(await(loop, [&] {
        return events.back()->status.has_value();
    }));
    EXPECT_EQ(events.front()->status, Status::connection_lost);
    EXPECT_EQ(events.back()->status, Status::not_sent);
}

// A connection to an engine with one open request, "id-a.", to which a test sends an answer.
class AnsweringEngine : public ::testing::Test {
protected:
    void SetUp() override {
        connections = std::make_unique<node::EngineConnections>(
            loop, raw.listen(16), decide::ConnectionLimits{.max_connections = 1, .max_streams = 10}, pool);
        exchange = connections->send_request(permit(), "id-a.", events);
        ASSERT_TRUE(await(loop, [&] {
            return (peer = raw.accept()) != nullptr;
        }));
        ASSERT_TRUE(await(loop, [&] {
            peer->read();
            return peer->received.find("id-a.") != std::string::npos;
        }));
    }
    // Sends messages and the result of one page; returns the status of the request.
    Status status_after(const std::string& messages) {
        peer->send(messages + resp::array({"id-a.", "HIT", "chunks=1", "a\tb\tc\n"}));
        EXPECT_TRUE(await(loop, [&] {
            return events.status.has_value();
        }));
        return events.status.value_or(Status::not_sent);
    }
    net::PollLoop loop;
    RawSocket raw;
    node::ConnectionPool pool{loop};
    RecordedEvents events;
    std::unique_ptr<node::EngineConnections> connections;
    std::unique_ptr<node::Exchange> exchange;
    std::unique_ptr<RawSocket> peer;
};

TEST_F(AnsweringEngine, IgnoresWhatBelongsToNoRequest) {
    EXPECT_EQ(status_after(resp::array({"id-x.", "HIT", "chunks=s", "a\tb\tc\n"}) +
                           resp::array({"id-x.", "PART", "at=s", "a\tb\tc\n"}) +
                           resp::array({"tag", "PONG", "no fields", ""}) +
                           resp::array({"id-a.", "PART", "at=1", "a\tb\tc\n"}) +
                           resp::array({"id-a.", "INFO", "-", ""})),
              Status::completed);
    EXPECT_EQ(pool.unsolicited, 3u);
    EXPECT_EQ(pool.malformed_responses, 0u);
}

TEST_F(AnsweringEngine, UnknownKindEndsTheConnection) {
    EXPECT_EQ(status_after(resp::array({"id-a.", "HYT", "chunks=1", "a\tb\tc\n"})), Status::connection_lost);
    EXPECT_EQ(pool.malformed_responses, 1u);
}

TEST_F(AnsweringEngine, MissingWordEndsTheConnection) {
    EXPECT_EQ(status_after(resp::array({"id-a.", "HIT", "chunks=1"})), Status::connection_lost);
}

TEST_F(AnsweringEngine, WordTooManyEndsTheConnection) {
    EXPECT_EQ(status_after(resp::array({"id-a.", "HIT", "chunks=1", "a\tb\tc\n", ""})),
              Status::connection_lost);
}

// Guards against a rejection, which promises that nothing ran, of a request that has a result.
TEST_F(AnsweringEngine, RejectionAfterAPageEndsTheConnection) {
    EXPECT_EQ(status_after(resp::array({"id-a.", "HIT", "chunks=2", "a\tb\tc\n"}) +
                           resp::array({"id-a.", "SHED", "-", ""})),
              Status::connection_lost);
}

}  // namespace
}  // namespace gatetiller::testing
