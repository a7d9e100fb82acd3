// Planned restarts with waiting clients, a full client table, and slow readers.
#include "node/graceful_shutdown.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, ShutdownWaitsForClientsToReadTheirResponses) {
    settings.memory_mb = 256;
    add_engine("s-1");
    start();
    RawSocket c;
    c.shrink_receive_buffer();
    c.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return c.connected();
    }));
    std::string all;
    for (int i = 1; i <= 32; ++i)
        all += encode_call(make_request("lookup", 1, 700), i);
    std::size_t sent = 0;
    ASSERT_TRUE(run_until([&] {
        if (sent < all.size()) {
            const auto piece = std::string_view(all).substr(sent, 1000);
            c.send(piece), sent += piece.size();
        }
        return node->status().find("served=32") != std::string::npos;
    })) << node->status();
    bool drained = false;
    const Micros since = loop.now();
    node->drain([&] {
        drained = true;
    });
    const auto times = decide::derive_shutdown_schedule(settings.policy);
    ASSERT_TRUE(run_until([&] {
        return loop.now() - since > times.listen_until + 100 * kMillisecond;
    }));
    EXPECT_FALSE(drained) << "drained with responses unsent";
    ASSERT_TRUE(run_until([&] {
        return !c.read();
    }));
    EXPECT_FALSE(c.reset);
    std::size_t answers = 0;
    for (std::size_t at = c.received.find("row 699\n"); at != std::string::npos;
         at = c.received.find("row 699\n", at + 1))
        ++answers;
    EXPECT_EQ(answers, 32u);
    c.close();
    ASSERT_TRUE(run_until([&] {
        return drained;
    }));
    EXPECT_LT(loop.now() - since, times.exit_at);
}

TEST_F(EventOrderTest, DoesNotServeRequestThatCrossesTheCloseOfAnIdleConnection) {
    auto& e = add_engine("s-1");
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
    for (const auto& r : records.engines)
        EXPECT_NE(r.entry.trace, crossing.trace);
    idle.read();
    EXPECT_EQ(idle.received, before);
    EXPECT_EQ(e.open(), 0u);
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
