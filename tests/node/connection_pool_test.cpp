// The limit on the connections to all engines together, over loopback sockets.
#include "node/connection_pool.hpp"

#include <gtest/gtest.h>

#include <map>

#include "base/await.hpp"
#include "net/poll_loop.hpp"
#include "node/engine_connections.hpp"
#include "raw_socket.hpp"
#include "recorded_exchange.hpp"
#include "resp/resp.hpp"

namespace gatetiller::testing {
namespace {

using Status = decide::ExchangeResult::Status;

// An engine that answers when the test says so, and the node's connections to it.
struct Engine {
    Engine(net::Loop& loop, node::ConnectionPool& pool, const decide::ConnectionLimits& limits)
        : connections(loop, listener.listen(16), limits, pool) {}
    void accept() {
        while (auto accepted = listener.accept())
            accepted_connections.push_back(std::move(accepted));
    }
    // Returns the connection on which the request has arrived, or null.
    RawSocket* find(const std::string& id) {
        accept();
        for (const auto& connection : accepted_connections) {
            connection->read();
            if (connection->received.find(id) != std::string::npos)
                return connection.get();
        }
        return nullptr;
    }

    RawSocket listener;
    std::vector<std::unique_ptr<RawSocket>> accepted_connections;
    node::EngineConnections connections;
};

class ConnectionPoolTest : public ::testing::Test {
protected:
    Engine& add_engine() {
        engines.push_back(std::make_unique<Engine>(loop, pool, limits));
        return *engines.back();
    }
    // Sends a request. The status of its end is in `events`, by its id.
    void send(Engine& engine, const std::string& id) {
        exchanges[id] = engine.connections.send_request(permit(), id, events[id]);
    }
    void send_and_await_arrival(Engine& engine, const std::string& id) {
        send(engine, id);
        ASSERT_TRUE(await(loop, [&] {
            return engine.find(id) != nullptr;
        })) << id;
    }
    void answer(Engine& engine, const std::string& id) {
        engine.find(id)->send(resp::array({id, "HIT", "chunks=1", "a\tb\tc\n"}));
        ASSERT_TRUE(await(loop, [&] {
            return events[id].status == Status::completed;
        })) << id;
    }
    void turn_often() {
        for (int i = 0; i < 20; ++i)
            loop.turn(kMillisecond);
    }

    net::PollLoop loop;
    node::ConnectionPool pool{loop};
    decide::ConnectionLimits limits{.max_connections = 8, .max_streams = 10};
    std::vector<std::unique_ptr<Engine>> engines;
    std::map<std::string, RecordedEvents> events;
    std::map<std::string, std::unique_ptr<node::Exchange>> exchanges;
};

// Guards against connections to engines that take the descriptors of clients (review case 3).
TEST_F(ConnectionPoolTest, ARequestWaitsAtTheLimitAndIsSentOnceAnotherConnectionIsIdle) {
    pool.set_max_connections(2);
    Engine &first = add_engine(), &second = add_engine(), &third = add_engine();
    send_and_await_arrival(first, "id-1.");
    send_and_await_arrival(second, "id-2.");
    send(third, "id-3.");
    turn_often();
    EXPECT_EQ(pool.open_connections(), 2u);
    EXPECT_EQ(third.connections.size(), 0u);
    EXPECT_EQ(third.connections.requests_in_flight(), 1u);
    answer(second, "id-2.");
    ASSERT_TRUE(await(loop, [&] {
        return third.find("id-3.") != nullptr;
    }));
    EXPECT_EQ(pool.open_connections(), 2u);
    EXPECT_EQ(second.connections.size(), 0u);
    answer(third, "id-3.");
    EXPECT_EQ(pool.waited, 1u);
    EXPECT_EQ(pool.wait_timeouts, 0u);
}

// Guards against connections that grow past the limit while each engine takes an idle one from another.
TEST_F(ConnectionPoolTest, ManyEnginesInTurnStayWithinTheLimit) {
    pool.set_max_connections(4);
    limits.connect_timeout = 5 * kSecondMicros;
    for (int i = 0; i < 12; ++i)
        add_engine();
    std::size_t most_open = 0;
    int sent = 0, answered = 0;
    const auto id_of = [](int number) {
        return "id-" + std::to_string(number) + ".";
    };
    const auto engine_of = [&](int number) -> Engine& {
        return *engines[static_cast<std::size_t>(number % 12)];
    };
    const auto answer_next = [&] {
        ASSERT_TRUE(await(loop, [&] {
            most_open = std::max(most_open, pool.open_connections());
            return engine_of(answered).find(id_of(answered)) != nullptr;
        })) << answered;
        answer(engine_of(answered), id_of(answered));
        ++answered;
    };
    while (sent < 60) {
        send(engine_of(sent), id_of(sent));
        ++sent;
        most_open = std::max(most_open, pool.open_connections());
        if (sent - answered == 6) {
            ASSERT_NO_FATAL_FAILURE(answer_next());
        }
    }
    while (answered < sent)
        ASSERT_NO_FATAL_FAILURE(answer_next());
    EXPECT_LE(most_open, 4u);
    EXPECT_GT(pool.waited, 0u);
}

TEST_F(ConnectionPoolTest, ClosesTheSpareConnectionOfAnEngineBeforeTheOnlyOneOfAnother) {
    pool.set_max_connections(3);
    Engine &first = add_engine(), &second = add_engine(), &third = add_engine();
    send_and_await_arrival(first, "id-1.");
    send_and_await_arrival(second, "id-2.");
    send_and_await_arrival(second, "id-3.");
    ASSERT_EQ(second.connections.size(), 2u);
    answer(first, "id-1.");  // idle for longest, but the engine's only connection
    answer(second, "id-2.");
    answer(second, "id-3.");
    send_and_await_arrival(third, "id-4.");
    EXPECT_EQ(first.connections.size(), 1u);
    EXPECT_EQ(second.connections.size(), 1u);
    // A second connection to one engine is not worth the only one to another: the request shares.
    send_and_await_arrival(third, "id-5.");
    EXPECT_EQ(third.connections.size(), 1u);
    EXPECT_EQ(first.connections.size(), 1u);
}

// Guards against a few engines that hang and take all connections, so that no other engine can be reached.
TEST_F(ConnectionPoolTest, AnEngineThatDoesNotAnswerLeavesRoomForOthers) {
    pool.set_max_connections(8);
    Engine &silent = add_engine(), &other = add_engine();
    for (int i = 0; i < 8; ++i)
        send_and_await_arrival(silent, "silent-" + std::to_string(i) + ".");
    EXPECT_EQ(silent.connections.size(), 6u);
    send_and_await_arrival(other, "id-1.");
    EXPECT_EQ(pool.waited, 0u);
}

TEST_F(ConnectionPoolTest, AWaitingRequestIsSentOnItsEnginesConnectionOnceThatIsUsable) {
    pool.set_max_connections(1);
    limits.max_streams = 1;
    Engine& engine = add_engine();
    send_and_await_arrival(engine, "id-1.");
    send(engine, "id-2.");
    turn_often();
    EXPECT_EQ(engine.find("id-2."), nullptr);
    answer(engine, "id-1.");
    ASSERT_TRUE(await(loop, [&] {
        return engine.find("id-2.") != nullptr;
    }));
    EXPECT_EQ(pool.opened, 1u);
}

TEST_F(ConnectionPoolTest, ARequestThatWaitsForTooLongEndsAsNotSent) {
    pool.set_max_connections(1);
    limits.connect_timeout = 30 * kMillisecond;
    Engine &first = add_engine(), &second = add_engine();
    send_and_await_arrival(first, "id-1.");
    send(second, "id-2.");
    ASSERT_TRUE(await(loop, [&] {
        return events["id-2."].status.has_value();
    }));
    EXPECT_EQ(events["id-2."].status, Status::not_sent);
    EXPECT_EQ(pool.wait_timeouts, 1u);
    answer(first, "id-1.");
    turn_often();
    EXPECT_EQ(second.connections.size(), 0u) << "opened for a request that has ended";
}

TEST_F(ConnectionPoolTest, RequestsWithdrawnOrNotNeededWhileTheyWaitAreNeverSent) {
    pool.set_max_connections(1);
    Engine &first = add_engine(), &second = add_engine();
    send_and_await_arrival(first, "id-1.");
    for (const char* id : {"id-2.", "id-3.", "id-4.", "id-5."})
        send(second, id);
    EXPECT_TRUE(exchanges["id-2."]->withdraw_unsent());
    exchanges["id-3."].reset();
    events["id-4."].needed = false;
    answer(first, "id-1.");
    ASSERT_TRUE(await(loop, [&] {
        return second.find("id-5.") != nullptr;
    }));
    EXPECT_EQ(events["id-4."].status, Status::not_sent);
    EXPECT_FALSE(events["id-2."].status.has_value()) << "a withdrawn exchange ends without a call";
    for (const char* id : {"id-2.", "id-3.", "id-4.", "undo"})
        EXPECT_EQ(second.find(id), nullptr) << id;
}

TEST_F(ConnectionPoolTest, WaitingRequestsEndWithTheConnectionsOfTheirEngine) {
    pool.set_max_connections(1);
    Engine &first = add_engine(), &second = add_engine();
    send_and_await_arrival(first, "id-1.");
    send(second, "id-2.");
    send(second, "id-3.");
    second.connections.end_all("the engine's address has changed");
    EXPECT_EQ(events["id-2."].status, Status::not_sent);
    EXPECT_EQ(events["id-3."].status, Status::not_sent);
    EXPECT_EQ(second.connections.requests_in_flight(), 0u);
    send(second, "id-4.");
    engines.pop_back();  // with a request that waits
    answer(first, "id-1.");
    turn_often();
    EXPECT_EQ(pool.open_connections(), 1u);
}

TEST_F(ConnectionPoolTest, ALoweredLimitIsReachedAsConnectionsBecomeIdle) {
    pool.set_max_connections(3);
    Engine &first = add_engine(), &second = add_engine(), &third = add_engine(), &fourth = add_engine();
    send_and_await_arrival(first, "id-1.");
    send_and_await_arrival(second, "id-2.");
    send_and_await_arrival(third, "id-3.");
    pool.set_max_connections(1);
    send(fourth, "id-4.");
    answer(first, "id-1.");
    answer(second, "id-2.");
    EXPECT_EQ(fourth.find("id-4."), nullptr);
    answer(third, "id-3.");
    ASSERT_TRUE(await(loop, [&] {
        return fourth.find("id-4.") != nullptr;
    }));
    EXPECT_EQ(pool.open_connections(), 1u);
}

}  // namespace
}  // namespace gatetiller::testing
