// A front node among the platform's stand-ins, in virtual time (NodeRig) or over loopback sockets
// (SocketRig); every test ends with the rules judged from what passed on the sockets.
#pragma once

#include <gtest/gtest.h>

#include "base/await.hpp"
#include "lab/checker.hpp"
#include "lab/platform.hpp"
#include "node/node.hpp"
#include "sim/virtual_loop.hpp"

namespace gatetiller::testing {

template <typename Loop>
class RigOn : public ::testing::Test {
protected:
    static constexpr Micros kLimit = 60 * kSecondMicros;
    static constexpr bool kVirtual = std::is_same_v<Loop, sim::VirtualLoop>;
    static auto loop_settings() {
        if constexpr (kVirtual)
            return sim::VirtualSettings{.seed = 1};
        else
            return net::PollLoop::Limits{.input = 96 * 1024};
    }
    // On real sockets the kernel picks the ports.
    static net::Address at(const std::string& address) {
        return *net::Address::parse(kVirtual ? address : "127.0.0.1:0");
    }

    RigOn() {
        settings.name = "n0";
        settings.listen = at("127.0.0.4:5050");
        settings.sockets = 256, settings.memory_mb = 32, settings.cores = 0.5;
        settings.idle_timeout = 30 * kSecondMicros, settings.max_streams = 100;
        settings.connect_timeout = 250 * kMillisecond;
        PolicySettings& m = settings.policy;
        ClassSettings lookup, load;
        lookup.name = "lookup", lookup.idempotency = Idempotency::idempotent,
        lookup.latency_objective = kSecondMicros, lookup.deadline = 4 * kSecondMicros,
        lookup.late_value_share = 0.5;
        load.name = "load", load.idempotency = Idempotency::keyed, load.key_scope = KeyScope::all,
        load.key_window = 25 * kSecondMicros, load.latency_objective = 3 * kSecondMicros,
        load.deadline = 9 * kSecondMicros, load.late_value_share = 0.5;
        m.classes = {lookup, load};
        m.tenants = {{"acme", 0, 1}};
        m.kinds = {{"std", 8, 16'384}};
        m.zone = "z";
        m.supports_priorities = m.supports_memory_grants = m.cost_in_responses = m.can_cancel =
            m.sends_retry_after = true;
        m.load_report_source = LoadReportSource::responses;
        m.progress_period = 100 * kMillisecond;
        m.max_retry_after = 2 * kSecondMicros;
        m.max_attempts = 6;
        m.response_grace = 20 * kMillisecond, m.drain_grace = 2 * kSecondMicros;
        m.slow_start_capacity_share = 0.3, m.slow_start_window = 10 * kSecondMicros, m.overload_factor = 3,
        m.overload_window = 1'500 * kMillisecond;
    }
    ~RigOn() override {
        node.reset();
        clients.clear();
    }

    lab::PlatformEngine& engine(const std::string& name, const std::string& address = "") {
        lab::PlatformEngineSettings s;
        s.name = name, s.seed = ++seed;
        auto e = std::make_unique<lab::PlatformEngine>(loop, s, records);
        const auto place = e->listen(
            "n0", at(address.empty() ? "127.1.0." + std::to_string(engines.size() + 1) + ":5050" : address));
        EXPECT_TRUE(place) << place.error();
        list(name, *place);
        lab::EngineFacts facts;
        facts.name = facts.address = name, facts.zone = "z", facts.kind = "std";
        records.facts.engines.push_back(facts);
        engines.push_back(std::move(e));
        return *engines.back();
    }
    // An event of the name service; before start() it is part of the list of the start, as a configuration
    // would hold it.
    void list(const std::string& name, const net::Address& place, bool draining = false) {
        names.put({name, "z", "std", {{"n0", place}}, draining});
        if (node)
            return;
        decide::DiscoveredEndpoint e;
        e.name = name, e.address = place.text(), e.zone = "z", e.kind = "std";
        settings.known_endpoints.push_back(std::move(e));
    }
    void start() {
        const auto dns = names.listen("n0", at("127.2.0.1:1053"));
        ASSERT_TRUE(dns);
        settings.dns = *dns;
        settings.known_serial = names.number();
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
        ready();
    }
    lab::PlatformClient& client() {
        clients.push_back(std::make_unique<lab::PlatformClient>(loop, "n0", settings.listen, records));
        return *clients.back();
    }
    void ready() {
        auto& c = client();
        c.probe();
        ASSERT_TRUE(until([&] {
            return c.ready();
        }));
    }
    lab::PlatformClient::Ask ask(const std::string& cls = "lookup", int work_ms = 20, std::size_t rows = 3) {
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
    template <typename C>
    bool until(C condition, Micros longest = kLimit) {
        if constexpr (kVirtual)
            return loop.run(condition, longest);
        else
            return await(loop, condition, longest);
    }
    void pass(Micros span) {  // of virtual time
        static_assert(kVirtual, "conditions are awaited on real sockets");
        const Micros end = loop.now() + span;
        loop.after(span, [] {});
        loop.run(
            [&] {
                return loop.now() >= end;
            },
            span + 1);
    }
    lab::Judgement judged() {
        records.facts.classes = settings.policy.classes;
        records.facts.answer_grace = settings.policy.response_grace;
        records.facts.drain_grace = settings.policy.drain_grace + 50 * kMillisecond;
        records.sort();
        return lab::judge(records);
    }
    void expect_rules_kept() {
        const auto j = judged();
        for (const auto& v : j.violations)
            ADD_FAILURE() << "rule " << v.rule << ": " << v.what << "\n" << v.story;
        for (const auto& e : engines)
            EXPECT_TRUE(e->unusable().empty()) << e->unusable()[0];
    }

    Loop loop{loop_settings()};
    Random random{7};
    std::uint64_t seed = 0;
    std::string log;
    lab::Records records;
    lab::NameService names{loop, records, 3};
    node::NodeSettings settings;
    std::vector<std::unique_ptr<lab::PlatformEngine>> engines;
    std::vector<std::unique_ptr<lab::PlatformClient>> clients;
    std::unique_ptr<node::Node> node;
};

using NodeRig = RigOn<sim::VirtualLoop>;
using SocketRig = RigOn<net::PollLoop>;

}  // namespace gatetiller::testing
