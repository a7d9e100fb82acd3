// Client connections over loopback sockets: evictions, timeouts and what was read late.
#include "node/client_sessions.hpp"

#include <ctime>

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

// Of many messages that came during a stall, those left for the next turn have waited through it too.
TEST_F(EventOrderTest, AMessageLeftForTheNextTurnHasWaitedThroughTheStallBeforeIt) {
    add_engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return c.connected();
    }));
    std::string many;
    for (int i = 1; i <= 80; ++i)
        many += thrift::give_up_call(i, 1);
    const auto a = make_request();
    many += call(a, 81);
    loop.after(0, [&] {
        c.send(many);
        const timespec stall{0, 200'000'000};
        ::nanosleep(&stall, nullptr);
    });
    ASSERT_TRUE(run_until([&] {
        return log.find(a.trace + " lookup accepted") != std::string::npos;
    }));
    const auto left_at = log.find("left_ms=", log.find(a.trace + " lookup accepted"));
    EXPECT_LE(std::stoll(log.substr(left_at + 8)), a.patience / kMillisecond - 150);
}

TEST_F(EventOrderTest, RestingClientsThatFillTheTableKeepNobodyOutside) {
    add_engine("s-1");
    start();
    const std::size_t table = decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    const auto comes = [&] {
        auto& c = add_client();
        c.ask(make_request("lookup", 1));
        ASSERT_TRUE(run_until([&] {
            return c.open() == 0;
        })) << node->status();
        ASSERT_EQ(c.got().size(), 1u) << node->status();
        ASSERT_EQ(c.got().at(1).how, "served");
    };
    const auto clients_now = [&] {
        return std::stoul(node->status().substr(node->status().find("clients=") + 8));
    };
    while (clients_now() + 1 < table - table / 8)
        comes();
    const Micros full = loop.now();
    ASSERT_TRUE(run_until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // All have asked once and stay. A silent one ahead of each newcomer must not make it wait.
    for (std::size_t i = 0; i < table / 4; ++i) {
        add_client();
        comes();
    }
    EXPECT_NE(node->status().find("waits=0"), std::string::npos) << node->status();
    EXPECT_LE(clients_now(), table);
    expect_no_violations();
}

// A request that has come already when its connection is to make room is served, not reset.
TEST_F(EventOrderTest, ARequestThatIsThereWhenItsConnectionIsToMakeRoomIsServed) {
    settings.sockets = 64;
    add_engine("s-1");
    start();
    const std::size_t table = decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
    RawSocket rests;
    rests.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return rests.connected();
    }));
    rests.send(call(make_request("lookup", 1), 1));
    ASSERT_TRUE(run_until([&] {
        return rests.read() && !rests.got.empty();
    }));
    const Micros full = loop.now();
    ASSERT_TRUE(run_until([&] {
        return loop.now() > full + decide::ClientTimeouts{}.next_request_grace;
    }));
    // As many as fill the table stand in the listen backlog when it speaks: they are taken in in one turn,
    // ahead of it or behind it.
    std::vector<std::unique_ptr<RawSocket>> many;
    for (std::size_t i = 0; i < table; ++i) {
        many.push_back(std::make_unique<RawSocket>());
        many.back()->connect(settings.listen);
    }
    rests.got.clear();
    rests.send(call(make_request("lookup", 1), 2));
    ASSERT_TRUE(run_until([&] {
        return !rests.read() || !rests.got.empty();
    }));
    EXPECT_NE(rests.got.find("row 2"), std::string::npos) << node->status();
    expect_no_violations();
}

TEST_F(EventOrderTest, AClientThatWritesSlowlyKeepsTheAnswerThatItWaitsFor) {
    add_engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return c.connected();
    }));
    const auto slow = make_request("lookup", 2'600), half = make_request();
    const std::string second = call(half, 2);
    c.send(call(slow, 1) + second.substr(0, 30));
    // Past the time for half a request, with the first one still out: its answer comes, then the rest counts.
    ASSERT_TRUE(run_until([&] {
        return !c.read() || c.got.find("row 2") != std::string::npos;
    }));
    ASSERT_NE(c.got.find("row 2"), std::string::npos) << "closed: " << node->status();
    expect_no_violations();
}

// Half a message stands for its two seconds; the rest of it, many that need no answer and a request come in
// the very moment in which its connection would be closed for that.
TEST_F(EventOrderTest, ARequestBehindManyMessagesIsServedWhenItsConnectionIsAboutToBeClosed) {
    add_engine("s-1");
    start();
    RawSocket c;
    c.connect(settings.listen);
    ASSERT_TRUE(run_until([&] {
        return c.connected();
    }));
    const std::string first = thrift::give_up_call(1, 1);
    c.send(first.substr(0, 10));
    const Micros half = loop.now();
    std::string rest = first.substr(10);
    for (int i = 2; i <= 40; ++i)
        rest += thrift::give_up_call(i, 1);
    rest += call(make_request("lookup", 1), 41);
    const Micros limit = decide::ClientTimeouts{}.partial_request_timeout;
    ASSERT_TRUE(run_until([&] {
        return loop.now() - half > limit - 50 * kMillisecond;
    }));
    // All due in one turn: this process stands still for longer than the time between two looks at the
    // clients.
    loop.after(0, [] {
        const timespec stall{0, 150'000'000};
        ::nanosleep(&stall, nullptr);
    });
    loop.after(kMillisecond, [&] {
        c.send(rest);
    });
    ASSERT_TRUE(run_until([&] {
        return !c.read() || c.got.find("row 2") != std::string::npos;
    }));
    EXPECT_NE(c.got.find("row 2"), std::string::npos) << "closed without an answer: " << node->status();
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
