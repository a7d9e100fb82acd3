// Tests of concurrent events over loopback sockets, in an order that the peer forces.
// docs/design/front-node.md has the table of cases.
#pragma once

#include "raw_socket.hpp"
#include "rig.hpp"

namespace gatetiller::testing {

class EventOrderTest : public SocketNodeTest {
protected:
    EventOrderTest() {
        settings.connect_timeout = 20 * kSecondMicros;
    }

    // Returns the bytes of a client's request.
    std::string encode_call(const lab::PlatformClient::Ask& request, std::int32_t seq) const {
        thrift::Fields f{{"route", request.cls},
                         {"trace", request.trace},
                         {"customer", request.tenant},
                         {"patience", std::to_string(request.patience / kMillisecond)}};
        if (!request.nonce.empty())
            f["nonce"] = request.nonce;
        return thrift::process_call(seq, f, request.sql);
    }
    // Lets the node's connection to a held engine be established, and returns the first bytes received on it,
    // at least `min_bytes`.
    std::string receive_once_connected(NonAcceptingEngine& held, std::size_t min_bytes) {
        held.free_backlog();
        std::unique_ptr<RawSocket> connection;
        EXPECT_TRUE(run_until([&] {
            return (connection = held.accept()) != nullptr;
        }));
        EXPECT_TRUE(run_until([&] {
            return !connection->read() || connection->received.size() >= min_bytes;
        }));
        return connection->received;
    }
    // Begins a planned restart with more clients than the table has slots, each with a request of
    // `work_ms`.
    void expect_shutdown_with_full_table_responds_to_all(int work_ms) {
        settings.sockets = 16;
        add_engine("s-1");
        start();
        const std::size_t table_size =
            decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
        std::vector<lab::PlatformClient*> busy_clients;
        for (std::size_t i = 0; i < table_size + 3; ++i) {
            busy_clients.push_back(&add_client());
            busy_clients.back()->ask(make_request("lookup", work_ms));
        }
        ASSERT_TRUE(run_until([&] {
            return node->status().find("waits=0") == std::string::npos;
        })) << node->status();
        bool drained = false;
        node->drain([&] {
            drained = true;
        });
        ASSERT_TRUE(run_until([&] {
            return drained;
        }));
        for (const auto* client : busy_clients) {
            EXPECT_EQ(client->open(), 0u);
            EXPECT_TRUE(client->got().contains(1)) << "ended without a response";
        }
        expect_no_violations();
    }
    // Sends a request that waits for its connection to the only engine, which is held.
    void send_waiting_request(lab::PlatformClient& client, const lab::PlatformClient::Ask& request) {
        client.ask(request);
        ASSERT_TRUE(run_until([&] {
            return node->status().find("s-held:1/1/1") != std::string::npos;
        })) << node->status();
    }
};

}  // namespace gatetiller::testing
