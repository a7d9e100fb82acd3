// Fixtures that run a front node with the platform's stand-ins (lab/platform.hpp): engines, clients and a
// name service. VirtualNodeTest runs in virtual time, SocketNodeTest over loopback sockets. A test sets
// `settings`, adds engines, calls start(), and ends with expect_no_violations(), which checks the platform's
// rules on the traffic that the stand-ins recorded.
#pragma once

#include <gtest/gtest.h>

#include "base/await.hpp"
#include "lab/checker.hpp"
#include "lab/platform.hpp"
#include "node/node.hpp"
#include "sim/virtual_loop.hpp"

namespace gatetiller::testing {

// `Loop`: sim::VirtualLoop or net::PollLoop.
template <typename Loop>
class NodeFixture : public ::testing::Test {
protected:
    // Maximum time to wait for a condition, in microseconds.
    static constexpr Micros kMaxWait = 60 * kSecondMicros;
    static constexpr bool kVirtual = std::is_same_v<Loop, sim::VirtualLoop>;
    static auto loop_settings() {
        if constexpr (kVirtual)
            return sim::VirtualSettings{.seed = 1};
        else
            return net::PollLoop::Limits{.input = 96 * 1024};
    }
    // Returns the address to listen on: `address` in virtual time; on real sockets the kernel chooses the
    // port.
    static net::Address listen_address(const std::string& address) {
        return *net::Address::parse(kVirtual ? address : "127.0.0.1:0");
    }

    NodeFixture() {
        settings.name = "n0";
        settings.listen = listen_address("127.0.0.4:5050");
        settings.sockets = 256;
        settings.memory_mb = 32;
        settings.cores = 0.5;
        settings.idle_timeout = 30 * kSecondMicros;
        settings.max_streams = 100;
        settings.connect_timeout = 250 * kMillisecond;
        set_policy(settings.policy);
    }
    ~NodeFixture() override {
        node.reset();
        clients.clear();
    }

    // Starts an engine and lists it at the name service. `address` is used in virtual time only; empty: one
    // is assigned.
    lab::PlatformEngine& add_engine(const std::string& name, const std::string& address = "") {
        lab::PlatformEngineSettings engine_settings;
        engine_settings.name = name;
        engine_settings.seed = ++seed;
        auto engine = std::make_unique<lab::PlatformEngine>(loop, engine_settings, records);
        const auto endpoint_address = engine->listen(
            "n0", listen_address(address.empty() ? "127.1.0." + std::to_string(engines.size() + 1) + ":5050"
                                                 : address));
        EXPECT_TRUE(endpoint_address) << endpoint_address.error();
        publish_endpoint(name, *endpoint_address);
        lab::EngineFacts facts;
        facts.name = name;
        facts.address = name;
        facts.zone = "z";
        facts.kind = "std";
        records.facts.engines.push_back(facts);
        engines.push_back(std::move(engine));
        return *engines.back();
    }
    // Adds or changes an endpoint at the name service; before start() also in the configured initial list.
    void publish_endpoint(const std::string& name, const net::Address& endpoint_address,
                          bool draining = false) {
        name_service.put({name, "z", "std", {{"n0", endpoint_address}}, draining});
        if (node)
            return;
        decide::DiscoveredEndpoint endpoint;
        endpoint.name = name;
        endpoint.address = endpoint_address.text();
        endpoint.zone = "z";
        endpoint.kind = "std";
        settings.known_endpoints.push_back(std::move(endpoint));
    }
    // Starts the name service and the node, and waits until the node responds to a client.
    void start() {
        const auto dns = name_service.listen("n0", listen_address("127.2.0.1:1053"));
        ASSERT_TRUE(dns);
        settings.dns = *dns;
        settings.known_serial = name_service.number();
        node = std::make_unique<node::Node>(loop, settings,
                                            node::NodeDeps{[this](const std::string& line) {
                                                               log += line + "\n";
                                                           },
                                                           [this](const std::string& line) {
                                                               log += line + "\n";
                                                           }});
        const auto bound = node->start();
        ASSERT_TRUE(bound) << bound.error();
        settings.listen = *bound;
        wait_until_ready();
    }
    // Returns a new client, which connects immediately.
    lab::PlatformClient& add_client() {
        clients.push_back(std::make_unique<lab::PlatformClient>(loop, "n0", settings.listen, records));
        return *clients.back();
    }
    // Waits until the node responds to a probe.
    void wait_until_ready() {
        auto& client = add_client();
        client.probe();
        ASSERT_TRUE(run_until([&] {
            return client.ready();
        }));
    }
    // Returns a request with a new id, `work_ms` milliseconds of work and a result of `rows` rows.
    lab::PlatformClient::Ask make_request(const std::string& cls = "lookup", int work_ms = 20,
                                          std::size_t rows = 3) {
        lab::PlatformClient::Ask request;
        request.cls = cls, request.tenant = "acme", request.rows = rows;
        request.trace = random.hex(16);
        request.sql = "SELECT a, b, c FROM sales_3.t /* gt: work_ms=" + std::to_string(work_ms) +
                      " rows=" + std::to_string(rows) + " */ -- " + request.trace;
        request.aim = kSecondMicros, request.patience = cls == "load" ? 9 * kSecondMicros : 4 * kSecondMicros;
        if (cls == "load")
            request.nonce = random.hex(32);
        return request;
    }
    // Runs the loop until the condition holds. Returns false if it does not in time.
    template <typename C>
    bool run_until(C condition, Micros max_wait = kMaxWait) {
        if constexpr (kVirtual)
            return loop.run(condition, max_wait);
        else
            return await(loop, condition, max_wait);
    }
    // Advances the virtual time.
    void advance_time(Micros duration) {
        static_assert(kVirtual, "conditions are awaited on real sockets");
        const Micros end = loop.now() + duration;
        loop.after(duration, [] {});
        loop.run(
            [&] {
                return loop.now() >= end;
            },
            duration + 1);
    }
    // Checks the rules on all traffic recorded so far.
    lab::Judgement check_rules() {
        records.facts.classes = settings.policy.classes;
        records.facts.answer_grace = settings.policy.response_grace;
        records.facts.drain_grace = settings.policy.drain_grace + 50 * kMillisecond;
        records.sort();
        return lab::judge(records);
    }
    void expect_no_violations() {
        const auto report = check_rules();
        for (const auto& violation : report.violations)
            ADD_FAILURE() << "rule " << violation.rule << ": " << violation.what << "\n" << violation.story;
        for (const auto& engine : engines)
            EXPECT_TRUE(engine->unusable().empty()) << engine->unusable()[0];
    }

    // Two classes: `lookup` is idempotent, `load` may be retried with its key.
    static void set_policy(PolicySettings& policy) {
        ClassSettings lookup;
        lookup.name = "lookup";
        lookup.idempotency = Idempotency::idempotent;
        lookup.latency_objective = kSecondMicros;
        lookup.deadline = 4 * kSecondMicros;
        lookup.late_value_share = 0.5;
        ClassSettings load;
        load.name = "load";
        load.idempotency = Idempotency::keyed;
        load.key_scope = KeyScope::all;
        load.key_window = 25 * kSecondMicros;
        load.latency_objective = 3 * kSecondMicros;
        load.deadline = 9 * kSecondMicros;
        load.late_value_share = 0.5;
        policy.classes = {lookup, load};
        policy.tenants = {{"acme", 0, 1}};
        policy.kinds = {{"std", 8, 16'384}};
        policy.zone = "z";
        policy.supports_priorities = true;
        policy.supports_memory_grants = true;
        policy.cost_in_responses = true;
        policy.can_cancel = true;
        policy.sends_retry_after = true;
        policy.load_report_source = LoadReportSource::responses;
        policy.progress_period = 100 * kMillisecond;
        policy.max_retry_after = 2 * kSecondMicros;
        policy.max_attempts = 6;
        policy.response_grace = 20 * kMillisecond;
        policy.drain_grace = 2 * kSecondMicros;
        policy.slow_start_capacity_share = 0.3;
        policy.slow_start_window = 10 * kSecondMicros;
        policy.overload_factor = 3;
        policy.overload_window = 1'500 * kMillisecond;
    }

    Loop loop{loop_settings()};
    Random random{7};
    std::uint64_t seed = 0;
    std::string log;  // log and trace lines of the node
    lab::Records records;
    lab::NameService name_service{loop, records, 3};
    node::NodeSettings settings;
    std::vector<std::unique_ptr<lab::PlatformEngine>> engines;
    std::vector<std::unique_ptr<lab::PlatformClient>> clients;
    std::unique_ptr<node::Node> node;
};

using VirtualNodeTest = NodeFixture<sim::VirtualLoop>;
using SocketNodeTest = NodeFixture<net::PollLoop>;

}  // namespace gatetiller::testing
