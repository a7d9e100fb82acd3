// Events that cross, over loopback sockets: the peer forces their order. docs/design/front-node.md has the
// table.
#pragma once

#include "raw_socket.hpp"
#include "rig.hpp"

namespace gatetiller::testing {

class EventOrderTest : public SocketNodeTest {
protected:
    EventOrderTest() {
        settings.connect_timeout = 20 * kSecondMicros;
    }

    // What a client's request is, by its bytes.
    std::string call(const lab::PlatformClient::Ask& a, std::int32_t seq) const {
        thrift::Fields f{{"route", a.cls},
                         {"trace", a.trace},
                         {"customer", a.tenant},
                         {"patience", std::to_string(a.patience / kMillisecond)}};
        if (!a.nonce.empty())
            f["nonce"] = a.nonce;
        return thrift::process_call(seq, f, a.sql);
    }
    // Until the node's connection to a held engine has come up; what it then says first.
    std::string said_once_up(HeldEngine& held, std::size_t least) {
        held.let_in();
        std::unique_ptr<RawSocket> up;
        EXPECT_TRUE(run_until([&] {
            return (up = held.accept()) != nullptr;
        }));
        EXPECT_TRUE(run_until([&] {
            return !up->read() || up->got.size() >= least;
        }));
        return up->got;
    }
    // More clients than the table has places, each with a request of so much work, and a planned restart.
    void a_shutdown_behind_a_full_table_answers_everybody(int work_ms) {
        settings.sockets = 16;
        add_engine("s-1");
        start();
        const std::size_t table =
            decide::derive_limits(settings.sockets, settings.memory_mb).client_connections;
        std::vector<lab::PlatformClient*> busy;
        for (std::size_t i = 0; i < table + 3; ++i) {
            busy.push_back(&add_client());
            busy.back()->ask(make_request("lookup", work_ms));
        }
        ASSERT_TRUE(run_until([&] {
            return node->status().find("waits=0") == std::string::npos;
        })) << node->status();
        bool over = false;
        node->drain([&] {
            over = true;
        });
        ASSERT_TRUE(run_until([&] {
            return over;
        }));
        for (const auto* c : busy) {
            EXPECT_EQ(c->open(), 0u);
            EXPECT_TRUE(c->got().contains(1)) << "ended without an answer";
        }
        expect_no_violations();
    }
    // With one engine that holds whoever connects: a request that waits to go out to it.
    void request_waits(lab::PlatformClient& c, const lab::PlatformClient::Ask& a) {
        c.ask(a);
        ASSERT_TRUE(run_until([&] {
            return node->status().find("s-held:1/1/1") != std::string::npos;
        })) << node->status();
    }
};

}  // namespace gatetiller::testing
