// What goes out to engines, and with what time left, when clients leave, connections come up late or engines
// stop reading.
#include "node/attempt_dispatcher.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, ARequestWhoseClientLeavesWhileItsConnectionComesUpIsNeverSent) {
    for (const bool may_cancel : {true, false}) {
        settings.policy.can_cancel = may_cancel;
        node.reset(), clients.clear(), settings.known_endpoints.clear();
        settings.listen = listen_address("");
        HeldEngine held;
        ASSERT_TRUE(run_until([&] {
            return held.full();
        }));
        publish_endpoint("s-held", held.address);
        start();
        auto& leaves = add_client();
        const auto left = make_request(), after = make_request();
        request_waits(leaves, left);
        leaves.give_up(1);
        ASSERT_TRUE(run_until([&] {
            return node->active_requests() == 0;
        }));
        // Another one over the same connection is the first that the engine hears of.
        auto& stays = add_client();
        request_waits(stays, after);
        const std::string said = said_once_up(held, 60);
        EXPECT_EQ(said.find(left.trace), std::string::npos) << said;
        EXPECT_NE(said.find(after.trace), std::string::npos) << said;
        node.reset(), name_service.remove("s-held"), name_service.close("n0");
    }
}

TEST_F(EventOrderTest, ARequestTakenBackInTheSameBreathReachesNoEngine) {
    auto& e = add_engine("s-1");
    start();
    const auto left = make_request(), gone = make_request();
    auto& c = add_client();
    c.raw(call(left, 1) + thrift::give_up_call(2, 1));
    {
        RawSocket leaves;
        leaves.connect(settings.listen);
        ASSERT_TRUE(run_until([&] {
            return leaves.connected();
        }));
        leaves.send(call(gone, 1));
    }  // its end stands behind the request
    auto& stays = add_client();
    const auto seq = stays.ask(make_request());
    ASSERT_TRUE(run_until([&] {
        return stays.open() == 0 && node->active_requests() == 0;
    }));
    EXPECT_EQ(stays.got().at(seq).how, "served");
    for (const auto& r : records.engines)
        for (const auto& a : {left, gone})
            EXPECT_NE(r.entry.trace, a.trace) << r.entry.event;
    EXPECT_TRUE(e.commands.empty()) << e.commands[0];
    expect_no_violations();
}

std::int64_t passed_on_ms(const std::string& said) {
    const auto at = said.find("ms=");
    return at == std::string::npos ? -1 : std::stoll(said.substr(at + 3));
}

TEST_F(EventOrderTest, TheTimeThatAConnectionTakesIsTakenOffTheDeadlinePassedOn) {
    HeldEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.full();
    }));
    publish_endpoint("s-held", held.address);
    start();
    auto& c = add_client();
    const auto a = make_request();
    const Micros asked = loop.now();
    request_waits(c, a);
    ASSERT_TRUE(run_until([&] {
        return loop.now() - asked > 800 * kMillisecond;
    }));
    const std::string said = said_once_up(held, 60);
    const Micros left = asked + a.patience - loop.now();
    ASSERT_GT(passed_on_ms(said), 0) << said;
    EXPECT_LE(passed_on_ms(said), left / kMillisecond + 150) << said;
}

// An engine that reads nothing, and so acknowledges little: most of a large request stays with this machine's
// kernel. Its attempts may not be called off, so that nothing but the rule itself ends them.
class UnacknowledgedRequest : public EventOrderTest {
protected:
    UnacknowledgedRequest() {
        settings.policy.can_cancel = false;
        settings.policy.drain_grace = 300 * kMillisecond;
        raw.receive_little();
        address = raw.listen(16);
    }
    void begin_one() {
        publish_endpoint("s-raw", address);
        start();
        auto a = make_request("load");
        a.sql += std::string(20'000, 'x');
        seq = add_client().ask(a);
        ASSERT_TRUE(run_until([&] {
            return (peer = raw.accept()) != nullptr;
        }));
        ASSERT_TRUE(run_until([&] {
            return log.find(a.trace + " load attempt 0 at s-raw begins") != std::string::npos;
        }));
        began = loop.now();
    }
    // Nobody reads meanwhile: what has been discarded never arrives.
    void expect_discarded_by(Micros longest) {
        ASSERT_TRUE(run_until(
            [&] {
                return node->status().find("discarded=1") != std::string::npos;
            },
            longest))
            << node->status();
        ASSERT_TRUE(run_until([&] {
            return !peer->read();
        }));
        EXPECT_TRUE(peer->reset);
        EXPECT_LT(peer->got.size(), 20'000u);
    }
    RawSocket raw;
    net::Address address;
    std::unique_ptr<RawSocket> peer;
    std::int32_t seq = 0;
    Micros began = 0;
};

TEST_F(UnacknowledgedRequest, IsDiscardedBeforeTheGraceOfItsEnginesDrainIsOver) {
    begin_one();
    add_engine("s-2");
    publish_endpoint("s-raw", address, true);
    ASSERT_TRUE(run_until([&] {
        return log.find("engine s-raw drains") != std::string::npos;
    }));
    expect_discarded_by(settings.policy.drain_grace + 50 * kMillisecond);
    auto& c = *clients.back();
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(seq).how, "served");
    EXPECT_LT(loop.now() - began, 3 * kSecondMicros);
}

TEST_F(UnacknowledgedRequest, IsDiscardedWhenItsClientLeaves) {
    begin_one();
    clients.back()->give_up(seq);
    expect_discarded_by(100 * kMillisecond);
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
}

// A class that may not be repeated is tried again where its first connection ended before it was written.
TEST_F(EventOrderTest, OnceIsTriedAgainOnlyWhereItWasProvablyNeverSent) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    HeldEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.full();
    }));
    publish_endpoint("s-held", held.address);
    start();
    auto& c = add_client();
    const auto a = make_request("load");
    request_waits(c, a);
    // Its engine begins to drain: what waits is taken back, and goes to one that was listed meanwhile.
    add_engine("s-2");
    publish_endpoint("s-held", held.address, true);
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(1).how, "served");
    expect_no_violations();
}

// A repeat must arrive while the engines still know its key: not when its connection at last comes up.
TEST_F(EventOrderTest, ARepeatThatWaitsPastItsWindowIsTakenBack) {
    settings.policy.classes[1].key_window = 1'500 * kMillisecond;
    HeldEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.full();
    }));
    auto& first = add_engine("s-1");
    first.set({.silent = 1});
    start();
    auto& c = add_client();
    const auto a = make_request("load", 1);
    c.ask(a);
    ASSERT_TRUE(run_until([&] {
        return first.open() == 1;
    }));
    publish_endpoint("s-held", held.address);
    ASSERT_TRUE(run_until([&] {
        return node->status().find("s-held") != std::string::npos;
    }));
    first.die();
    ASSERT_TRUE(run_until([&] {
        return node->status().find("s-held:1/1/1") != std::string::npos;
    })) << node->status();
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().at(1).how, "refused");  // whoever asks again with the key is told by any engine
    EXPECT_NE(node->status().find("s-held:0/0/1"), std::string::npos) << node->status();
    auto& stays = add_client();
    const auto after = make_request();
    request_waits(stays, after);
    const std::string said = said_once_up(held, 60);
    EXPECT_EQ(said.find(a.trace), std::string::npos) << said;
    EXPECT_NE(said.find(after.trace), std::string::npos) << said;
}

}  // namespace
}  // namespace gatetiller::testing
