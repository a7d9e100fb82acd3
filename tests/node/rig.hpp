// Fixtures that run a front node among the platform's stand-ins (lab/platform.hpp): engines, clients and a
// name service. NodeRig runs in virtual time, SocketRig over loopback sockets. A test sets `settings`, adds
// engines, calls start(), and ends with expect_rules_kept(), which judges the platform's rules from what the
// stand-ins recorded on their sockets.
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
    // How long a condition is awaited at most.
    static constexpr Micros kMaxWait = 60 * kSecondMicros;
    static constexpr bool kVirtual = std::is_same_v<Loop, sim::VirtualLoop>;
    static auto loop_settings() {
        if constexpr (kVirtual)
            return sim::VirtualSettings{.seed = 1};
        else
            return net::PollLoop::Limits{.input = 96 * 1024};
    }
    // The address to listen on: this one in virtual time; on real sockets the kernel picks the port.
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

    // Starts an engine and lists it at the name service; in virtual time at `address`, if one is given.
    lab::PlatformEngine& add_engine(const std::string& name, const std::string& address = "") {
        lab::PlatformEngineSettings s;
        s.name = name;
        s.seed = ++seed;
        auto e = std::make_unique<lab::PlatformEngine>(loop, s, records);
        const auto place = e->listen(
            "n0", listen_address(address.empty() ? "127.1.0." + std::to_string(engines.size() + 1) + ":5050"
                                                 : address));
        EXPECT_TRUE(place) << place.error();
        publish_endpoint(name, *place);
        lab::EngineFacts facts;
        facts.name = name;
        facts.address = name;
        facts.zone = "z";
        facts.kind = "std";
        records.facts.engines.push_back(facts);
        engines.push_back(std::move(e));
        return *engines.back();
    }
    // An event of the name service; before start() it is part of the list of the start, as a configuration
    // would hold it.
    void publish_endpoint(const std::string& name, const net::Address& place, bool draining = false) {
        name_service.put({name, "z", "std", {{"n0", place}}, draining});
        if (node)
            return;
        decide::DiscoveredEndpoint e;
        e.name = name;
        e.address = place.text();
        e.zone = "z";
        e.kind = "std";
        settings.known_endpoints.push_back(std::move(e));
    }
    // Starts the name service and the node, and waits until the node answers a client.
    void start() {
        const auto dns = name_service.listen("n0", listen_address("127.2.0.1:1053"));
        ASSERT_TRUE(dns);
        settings.dns = *dns;
        settings.known_serial = name_service.number();
        node = std::make_unique<node::Node>(loop, settings,
                                            node::NodeDeps{[this](const std::string& t) {
                                                               log += t + "\n";
                                                           },
                                                           [this](const std::string& t) {
                                                               log += t + "\n";
                                                           }});
        const auto bound = node->start();
        ASSERT_TRUE(bound) << bound.error();
        settings.listen = *bound;
        wait_until_ready();
    }
    // A new client, which connects at once.
    lab::PlatformClient& add_client() {
        clients.push_back(std::make_unique<lab::PlatformClient>(loop, "n0", settings.listen, records));
        return *clients.back();
    }
    // Waits until the node answers a probe.
    void wait_until_ready() {
        auto& c = add_client();
        c.probe();
        ASSERT_TRUE(run_until([&] {
            return c.ready();
        }));
    }
    // A request of a new id, for work of so many milliseconds and a result of so many rows.
    lab::PlatformClient::Ask make_request(const std::string& cls = "lookup", int work_ms = 20,
                                          std::size_t rows = 3) {
        lab::PlatformClient::Ask a;
        a.cls = cls, a.tenant = "acme", a.rows = rows;
        a.trace = random.hex(16);
        a.sql = "SELECT a, b, c FROM sales_3.t /* gt: work_ms=" + std::to_string(work_ms) +
                " rows=" + std::to_string(rows) + " */ -- " + a.trace;
        a.aim = kSecondMicros, a.patience = cls == "load" ? 9 * kSecondMicros : 4 * kSecondMicros;
        if (cls == "load")
            a.nonce = random.hex(32);
        return a;
    }
    // Runs the loop until the condition holds; false: it did not in time.
    template <typename C>
    bool run_until(C condition, Micros longest = kMaxWait) {
        if constexpr (kVirtual)
            return loop.run(condition, longest);
        else
            return await(loop, condition, longest);
    }
    // Lets so much virtual time pass.
    void advance_time(Micros span) {
        static_assert(kVirtual, "conditions are awaited on real sockets");
        const Micros end = loop.now() + span;
        loop.after(span, [] {});
        loop.run(
            [&] {
                return loop.now() >= end;
            },
            span + 1);
    }
    // The rules judged from what has been recorded by now.
    lab::Judgement check_rules() {
        records.facts.classes = settings.policy.classes;
        records.facts.answer_grace = settings.policy.response_grace;
        records.facts.drain_grace = settings.policy.drain_grace + 50 * kMillisecond;
        records.sort();
        return lab::judge(records);
    }
    void expect_no_violations() {
        const auto j = check_rules();
        for (const auto& v : j.violations)
            ADD_FAILURE() << "rule " << v.rule << ": " << v.what << "\n" << v.story;
        for (const auto& e : engines)
            EXPECT_TRUE(e->unusable().empty()) << e->unusable()[0];
    }

    // Two classes: `lookup` is idempotent, `load` is safe to repeat by its key.
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
    std::string log;  // of the node, with its trace
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
