// Client connections over loopback sockets: evictions, timeouts and late reads.
#include "node/client_sessions.hpp"

#include <ctime>

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

// When many messages arrive during a stall of the process, those deferred to the next turn have waited
// through the stall too.
TEST_F(EventOrderTest, CountsStallInTheWaitOfMessagesDeferredToTheNextTurn) {
    add_engine("s-1");
    start();
    RawSocket client;
    client.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return client.connected();
    }));
    std::string many;
    for (int i = 1; i <= 80; ++i)
        many += thrift::give_up_call(i, 1);
    const auto request = make_request();
    many += encode_call(request, 81);
    loop.after(0, [&] {
        client.send(many);
        const timespec stall{0, 200'000'000};
        ::nanosleep(&stall, nullptr);
    });
    ASSERT_TRUE(run_until([&] {
        return log.find(request.trace + " lookup accepted") != std::string::npos;
    }));
    const auto left_at = log.find("left_ms=", log.find(request.trace + " lookup accepted"));
    EXPECT_LE(std::stoll(log.substr(left_at + 8)), request.patience / kMillisecond - 150);
}

TEST_F(EventOrderTest, IdleClientsInAFullTableDoNotDelayNewClients) {
    add_engine("s-1");
    start();
    const std::size_t table_size =
        decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    const auto serve_new_client = [&] {
        auto& client = add_client();
        client.ask(make_request("lookup", 1));
        ASSERT_TRUE(run_until([&] {
            return client.open() == 0;
        })) << node->status();
        ASSERT_EQ(client.got().size(), 1u) << node->status();
        ASSERT_EQ(client.got().at(1).how, "served");
    };
    const auto connected_clients = [&] {
        return std::stoul(node->status().substr(node->status().find("clients=") + 8));
    };
    while (connected_clients() + 1 < table_size - table_size / 8)
        serve_new_client();
    const Micros full = loop.now();
    ASSERT_TRUE(run_until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // All clients have sent one request and stay connected. A silent connection before each new client must
    // not delay it.
    for (std::size_t i = 0; i < table_size / 4; ++i) {
        add_client();
        serve_new_client();
    }
    EXPECT_NE(node->status().find("waits=0"), std::string::npos) << node->status();
    EXPECT_LE(connected_clients(), table_size);
    expect_no_violations();
}

// A request that has arrived on a connection about to be evicted is served; the connection is not reset.
TEST_F(EventOrderTest, ServesRequestThatHasArrivedWhenItsConnectionIsToBeEvicted) {
    settings.sockets = 64;
    add_engine("s-1");
    start();
    const std::size_t table_size =
        decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    RawSocket idle;
    idle.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return idle.connected();
    }));
    idle.send(encode_call(make_request("lookup", 1), 1));
    ASSERT_TRUE(run_until([&] {
        return idle.read() && !idle.received.empty();
    }));
    const Micros full = loop.now();
    ASSERT_TRUE(run_until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // The listen backlog holds enough connections to fill the table when the idle client sends its request:
    // they are accepted in one turn, before or after the request is read.
    std::vector<std::unique_ptr<RawSocket>> many;
    for (std::size_t i = 0; i < table_size; ++i) {
        many.push_back(std::make_unique<RawSocket>());
        many.back()->connect(settings.listen);
    }
    idle.received.clear();
    idle.send(encode_call(make_request("lookup", 1), 2));
    ASSERT_TRUE(run_until([&] {
        return !idle.read() || !idle.received.empty();
    }));
    EXPECT_NE(idle.received.find("row 2"), std::string::npos) << node->status();
    expect_no_violations();
}

TEST_F(EventOrderTest, SlowWriterStillReceivesItsPendingResponse) {
    add_engine("s-1");
    start();
    RawSocket client;
    client.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return client.connected();
    }));
    const auto slow = make_request("lookup", 2'600), half = make_request();
    const std::string second = encode_call(half, 2);
    client.send(encode_call(slow, 1) + second.substr(0, 30));
    // The time limit of the partial request passes while the first request is in flight: its response must
    // arrive before the limit is enforced.
    ASSERT_TRUE(run_until([&] {
        return !client.read() || client.received.find("row 2") != std::string::npos;
    }));
    ASSERT_NE(client.received.find("row 2"), std::string::npos) << "closed: " << node->status();
    expect_no_violations();
}

// A partial message waits until its timeout of two seconds. The rest of it, many messages without a response
// and a request arrive at the moment when the connection would be closed for the timeout.
TEST_F(EventOrderTest, ServesRequestBehindManyMessagesWhenItsConnectionTimesOut) {
    add_engine("s-1");
    start();
    RawSocket client;
    client.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return client.connected();
    }));
    const std::string first = thrift::give_up_call(1, 1);
    client.send(first.substr(0, 10));
    const Micros half = loop.now();
    std::string rest = first.substr(10);
    for (int i = 2; i <= 40; ++i)
        rest += thrift::give_up_call(i, 1);
    rest += encode_call(make_request("lookup", 1), 41);
    const Micros limit = decide::ClientTimeouts{}.partial_request_timeout;
    ASSERT_TRUE(run_until([&] {
        return loop.now() - half > limit - 50 * kMillisecond;
    }));
    // All of it becomes due in one turn: this process stalls for longer than the interval between two sweeps
    // of the clients.
    loop.after(0, [] {
        const timespec stall{0, 150'000'000};
        ::nanosleep(&stall, nullptr);
    });
    loop.after(kMillisecond, [&] {
        client.send(rest);
    });
    ASSERT_TRUE(run_until([&] {
        return !client.read() || client.received.find("row 2") != std::string::npos;
    }));
    EXPECT_NE(client.received.find("row 2"), std::string::npos)
        << "closed without a response: " << node->status();
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
