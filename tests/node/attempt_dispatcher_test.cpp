// Which requests are sent to engines, and with which time left, when clients cancel, connections are
// established late or engines stop reading.
#include "node/attempt_dispatcher.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, NeverSendsRequestCancelledWhileItsConnectionIsPending) {
    for (const bool may_cancel : {true, false}) {
        settings.policy.can_cancel = may_cancel;
        node.reset(), clients.clear(), settings.known_endpoints.clear();
        settings.listen = listen_address("");
        NonAcceptingEngine held;
        ASSERT_TRUE(run_until([&] {
            return held.backlog_full();
        }));
        publish_endpoint("s-held", held.address);
        start();
        auto& cancelling = add_client();
        const auto cancelled = make_request(), after = make_request();
        send_waiting_request(cancelling, cancelled);
        cancelling.give_up(1);
        ASSERT_TRUE(run_until([&] {
            return node->active_requests() == 0;
        }));
        // The first request that the engine receives is a later one on the same connection.
        auto& other = add_client();
        send_waiting_request(other, after);
        const std::string received = receive_once_connected(held, 60);
        EXPECT_EQ(received.find(cancelled.trace), std::string::npos) << received;
        EXPECT_NE(received.find(after.trace), std::string::npos) << received;
        node.reset(), name_service.remove("s-held"), name_service.close("n0");
    }
}

TEST_F(EventOrderTest, DoesNotSendRequestCancelledInTheSameTurn) {
    auto& engine = add_engine("s-1");
    start();
    const auto cancelled = make_request(), disconnected = make_request();
    auto& client = add_client();
    client.raw(encode_call(cancelled, 1) + thrift::give_up_call(2, 1));
    {
        RawSocket cancelling;
        cancelling.connect(settings.listen);
        ASSERT_TRUE(run_until([&] {
            return cancelling.connected();
        }));
        cancelling.send(encode_call(disconnected, 1));
    }  // its destructor disconnects right after the request
    auto& other = add_client();
    const auto seq = other.ask(make_request());
    ASSERT_TRUE(run_until([&] {
        return other.open() == 0 && node->active_requests() == 0;
    }));
    EXPECT_EQ(other.got().at(seq).how, "served");
    for (const auto& record : records.engines)
        for (const auto& request : {cancelled, disconnected})
            EXPECT_NE(record.entry.trace, request.trace) << record.entry.event;
    EXPECT_TRUE(engine.commands.empty()) << engine.commands[0];
    expect_no_violations();
}

std::int64_t sent_time_left_ms(const std::string& received) {
    const auto at = received.find("ms=");
    return at == std::string::npos ? -1 : std::stoll(received.substr(at + 3));
}

TEST_F(EventOrderTest, DeductsConnectTimeFromTheTimeLeftSentToTheEngine) {
    NonAcceptingEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.backlog_full();
    }));
    publish_endpoint("s-held", held.address);
    start();
    auto& client = add_client();
    const auto request = make_request();
    const Micros asked_at = loop.now();
    send_waiting_request(client, request);
    ASSERT_TRUE(run_until([&] {
        return loop.now() - asked_at > 800 * kMillisecond;
    }));
    const std::string received = receive_once_connected(held, 60);
    const Micros time_left = asked_at + request.patience - loop.now();
    ASSERT_GT(sent_time_left_ms(received), 0) << received;
    EXPECT_LE(sent_time_left_ms(received), time_left / kMillisecond + 150) << received;
}

// An engine that reads nothing, and so acknowledges little: most of a large request stays in this machine's
// kernel. The policy can't cancel attempts, so that only the tested rule ends them.
class UnacknowledgedRequest : public EventOrderTest {
protected:
    UnacknowledgedRequest() {
        settings.policy.can_cancel = false;
        settings.policy.drain_grace = 300 * kMillisecond;
        raw.shrink_receive_buffer();
        address = raw.listen(16);
    }
    void start_request() {
        publish_endpoint("s-raw", address);
        start();
        auto request = make_request("load");
        request.sql += std::string(20'000, 'x');
        seq = add_client().ask(request);
        ASSERT_TRUE(run_until([&] {
            return (peer = raw.accept()) != nullptr;
        }));
        ASSERT_TRUE(run_until([&] {
            return log.find(request.trace + " load attempt 0 at s-raw begins") != std::string::npos;
        }));
        began = loop.now();
    }
    // The peer does not read until the node has discarded the bytes, so they can't arrive.
    void expect_discarded_by(Micros max_wait) {
        ASSERT_TRUE(run_until(
            [&] {
                return node->status().find("discarded=1") != std::string::npos;
            },
            max_wait))
            << node->status();
        ASSERT_TRUE(run_until([&] {
            return !peer->read();
        }));
        EXPECT_TRUE(peer->reset);
        EXPECT_LT(peer->received.size(), 20'000u);
    }
    RawSocket raw;
    net::Address address;
    std::unique_ptr<RawSocket> peer;
    std::int32_t seq = 0;
    Micros began = 0;
};

TEST_F(UnacknowledgedRequest, IsDiscardedBeforeTheDrainGraceEnds) {
    start_request();
    add_engine("s-2");
    publish_endpoint("s-raw", address, true);
    ASSERT_TRUE(run_until([&] {
        return log.find("engine s-raw is draining") != std::string::npos;
    }));
    expect_discarded_by(settings.policy.drain_grace + 50 * kMillisecond);
    auto& client = *clients.back();
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    EXPECT_EQ(client.got().at(seq).how, "served");
    EXPECT_LT(loop.now() - began, 3 * kSecondMicros);
}

TEST_F(UnacknowledgedRequest, IsDiscardedWhenItsClientCancels) {
    start_request();
    clients.back()->give_up(seq);
    expect_discarded_by(100 * kMillisecond);
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
}

// A non-idempotent request is retried if its first attempt was withdrawn before it was written.
TEST_F(EventOrderTest, RetriesNonIdempotentRequestThatWasNeverSent) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    NonAcceptingEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.backlog_full();
    }));
    publish_endpoint("s-held", held.address);
    start();
    auto& client = add_client();
    const auto request = make_request("load");
    send_waiting_request(client, request);
    // The engine begins to drain: the waiting request is withdrawn and sent to a newly listed engine.
    add_engine("s-2");
    publish_endpoint("s-held", held.address, true);
    ASSERT_TRUE(run_until([&] {
        return client.open() == 0;
    }));
    EXPECT_EQ(client.got().at(1).how, "served");
    expect_no_violations();
}

// A retry must arrive while the engines still recognize its key, so it must not be sent when its connection
// is established only after the key window.
TEST_F(EventOrderTest, WithdrawsRetryThatWaitsBeyondItsKeyWindow) {
    settings.policy.classes[1].key_window = 1'500 * kMillisecond;
    NonAcceptingEngine held;
    ASSERT_TRUE(run_until([&] {
        return held.backlog_full();
    }));
    auto& first = add_engine("s-1");
    first.set({.silent = 1});
    start();
    auto& client = add_client();
    const auto request = make_request("load", 1);
    client.ask(request);
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
        return client.open() == 0;
    }));
    EXPECT_EQ(client.got().at(1).how,
              "refused");  // a client's retry with the key is recognized by any engine
    EXPECT_NE(node->status().find("s-held:0/0/1"), std::string::npos) << node->status();
    auto& other = add_client();
    const auto after = make_request();
    send_waiting_request(other, after);
    const std::string received = receive_once_connected(held, 60);
    EXPECT_EQ(received.find(request.trace), std::string::npos) << received;
    EXPECT_NE(received.find(after.trace), std::string::npos) << received;
}

}  // namespace
}  // namespace gatetiller::testing
