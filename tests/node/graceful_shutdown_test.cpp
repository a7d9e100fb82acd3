// Planned restarts with waiting clients, a full client table, and slow readers.
#include "node/graceful_shutdown.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, ShutdownWaitsForClientsToReadTheirResponses) {
    settings.memory_mb = 256;
    add_engine("s-1");
    start();
    RawSocket client;
    client.shrink_receive_buffer();
    client.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return client.connected();
    }));
    std::string all;
    for (int i = 1; i <= 32; ++i)
        all += encode_call(make_request("lookup", 1, 700), i);
    std::size_t sent = 0;
    ASSERT_TRUE(run_until([&] {
        if (sent < all.size()) {
            const auto piece = std::string_view(all).substr(sent, 1000);
            client.send(piece), sent += piece.size();
        }
        return node->status().find("served=32") != std::string::npos;
    })) << node->status();
    bool drained = false;
    const Micros drain_began_at = loop.now();
    node->drain([&] {
        drained = true;
    });
    const auto schedule = decide::derive_shutdown_schedule(settings.policy);
    ASSERT_TRUE(run_until([&] {
        return loop.now() - drain_began_at > schedule.listen_until + 100 * kMillisecond;
    }));
    EXPECT_FALSE(drained) << "drained with responses unsent";
    ASSERT_TRUE(run_until([&] {
        return !client.read();
    }));
    EXPECT_FALSE(client.reset);
    std::size_t answers = 0;
    for (std::size_t at = client.received.find("row 699\n"); at != std::string::npos;
         at = client.received.find("row 699\n", at + 1))
        ++answers;
    EXPECT_EQ(answers, 32u);
    client.close();
    ASSERT_TRUE(run_until([&] {
        return drained;
    }));
    EXPECT_LT(loop.now() - drain_began_at, schedule.exit_at);
}

TEST_F(EventOrderTest, DoesNotServeRequestThatCrossesTheCloseOfAnIdleConnection) {
    auto& engine = add_engine("s-1");
    start();
    RawSocket idle;
    idle.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return idle.connected();
    }));
    idle.send(encode_call(make_request("lookup", 1), 1));
    ASSERT_TRUE(run_until([&] {
        return idle.read() && !idle.received.empty();
    }));
    bool drained = false;
    node->drain([&] {
        drained = true;
    });
    ASSERT_TRUE(run_until([&] {
        return !idle.read();
    }));  // the idle connection is closed gracefully
    EXPECT_FALSE(idle.reset);
    const std::string before = idle.received;
    const auto crossing = make_request();
    idle.send(encode_call(crossing, 2));
    ASSERT_TRUE(run_until([&] {
        return drained;
    }));
    for (const auto& record : records.engines)
        EXPECT_NE(record.entry.trace, crossing.trace);
    idle.read();
    EXPECT_EQ(idle.received, before);
    EXPECT_EQ(engine.open(), 0u);
}

// A restart begins while accepting is paused, as the table is full of clients with open requests.
TEST_F(EventOrderTest, ShutdownRespondsToClientsInTheListenBacklog) {
    expect_shutdown_with_full_table_responds_to_all(400);
}

// The requests that fill the table run for longer than the listener stays open.
TEST_F(EventOrderTest, ShutdownRespondsToClientsBehindATableThatStaysFull) {
    expect_shutdown_with_full_table_responds_to_all(1'500);
}

}  // namespace
}  // namespace gatetiller::testing
