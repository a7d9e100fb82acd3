// Planned restarts with clients that wait, crowd or read slowly.
#include "node/graceful_shutdown.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, AShutdownWaitsForAnswersThatTheirClientsHaveNotRead) {
    settings.memory_mb = 256;
    add_engine("s-1");
    start();
    RawSocket c;
    c.receive_little();
    c.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return c.connected();
    }));
    std::string all;
    for (int i = 1; i <= 32; ++i)
        all += call(make_request("lookup", 1, 700), i);
    std::size_t sent = 0;
    ASSERT_TRUE(run_until([&] {
        if (sent < all.size()) {
            const auto piece = std::string_view(all).substr(sent, 1000);
            c.send(piece), sent += piece.size();
        }
        return node->status().find("served=32") != std::string::npos;
    })) << node->status();
    bool over = false;
    const Micros since = loop.now();
    node->drain([&] {
        over = true;
    });
    const auto times = decide::derive_shutdown_schedule(settings.policy);
    ASSERT_TRUE(run_until([&] {
        return loop.now() - since > times.listen_until + 100 * kMillisecond;
    }));
    EXPECT_FALSE(over) << "answers stood unsent";
    ASSERT_TRUE(run_until([&] {
        return !c.read();
    }));
    EXPECT_FALSE(c.reset);
    std::size_t answers = 0;
    for (std::size_t at = c.got.find("row 699\n"); at != std::string::npos;
         at = c.got.find("row 699\n", at + 1))
        ++answers;
    EXPECT_EQ(answers, 32u);
    c.close();
    ASSERT_TRUE(run_until([&] {
        return over;
    }));
    EXPECT_LT(loop.now() - since, times.exit_at);
}

TEST_F(EventOrderTest, ARequestThatCrossesTheShutdownOfARestingConnectionIsNotServed) {
    auto& e = add_engine("s-1");
    start();
    RawSocket rests;
    rests.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return rests.connected();
    }));
    rests.send(call(make_request("lookup", 1), 1));
    ASSERT_TRUE(run_until([&] {
        return rests.read() && !rests.got.empty();
    }));
    bool over = false;
    node->drain([&] {
        over = true;
    });
    ASSERT_TRUE(run_until([&] {
        return !rests.read();
    }));  // it is ended, in order
    EXPECT_FALSE(rests.reset);
    const std::string before = rests.got;
    const auto crossing = make_request();
    rests.send(call(crossing, 2));
    ASSERT_TRUE(run_until([&] {
        return over;
    }));
    for (const auto& r : records.engines)
        EXPECT_NE(r.entry.trace, crossing.trace);
    rests.read();
    EXPECT_EQ(rests.got, before);
    EXPECT_EQ(e.open(), 0u);
}

// Accepting pauses where the table is full of clients with requests open; a restart begins then.
TEST_F(EventOrderTest, WhoeverWaitsInTheListenBacklogAtAShutdownIsAnswered) {
    a_shutdown_behind_a_full_table_answers_everybody(400);
}

// Requests that run past the time for which the listener stays fill the table until then.
TEST_F(EventOrderTest, WhoeverWaitsBehindATableThatStaysFullAtAShutdownIsAnswered) {
    a_shutdown_behind_a_full_table_answers_everybody(1'500);
}

}  // namespace
}  // namespace gatetiller::testing
