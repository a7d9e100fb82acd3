// A front node as a real process on loopback, among stand-ins in the test's own process: engines, a name
// service and clients that ask at a steady rate. What passed is judged by the rules, drains also by when they
// count as told at the latest.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/await.hpp"
#include "lab/checker.hpp"
#include "lab/platform.hpp"
#include "lab/process.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::testing {

class NodeProcess : public ::testing::Test {
protected:
    static constexpr Micros kPatience = 30 * kSecondMicros;
    static constexpr Micros kAskEvery = 20 * kMillisecond;
    static constexpr Micros kGrace = 2 * kSecondMicros;
    static constexpr Micros kDeadline = 2 * kSecondMicros;

    NodeProcess() {
        std::string name = ::testing::TempDir() + "node-process-XXXXXX";
        if (::mkdtemp(name.data()))
            folder_ = name + "/";
        names.record_latest({});
    }
    ~NodeProcess() override {
        process.kill();
        clients.clear();
        std::filesystem::remove_all(folder_);
    }

    std::string file(const std::string& name) const {
        return folder_ + name;
    }

    lab::PlatformEngine& add_engine(const std::string& name) {
        lab::PlatformEngineSettings s;
        s.name = name, s.seed = engines.size() + 1;
        engines.push_back(std::make_unique<lab::PlatformEngine>(loop, s, records));
        const auto place = engines.back()->listen("n0", any_);
        EXPECT_TRUE(place) << place.error();
        add_entry(name, *place);
        return *engines.back();
    }
    // An engine of the list at that address, whoever listens there.
    void add_entry(const std::string& name, const net::Address& place) {
        entries[name] = {name, "z", "std", {{"n0", place}}};
        names.put(entries[name]);
        lab::EngineFacts facts;
        facts.name = facts.address = name, facts.zone = "z", facts.kind = "std";
        records.facts.engines.push_back(facts);
    }
    void drain_engine(const std::string& name) {
        entries[name].draining = true;
        names.put(entries[name]);
    }

    void write_config(std::uint64_t number_ahead = 0) {
        auto known = nlohmann::json::parse(names.known("n0"));
        known["offset"] = known["offset"].get<std::uint64_t>() + number_ahead;
        const nlohmann::json config = {{"name", "n0"},
                                       {"listen", "127.0.0.1:0"},
                                       {"seed", "00c0ffee00c0ffee"},
                                       {"limits", {{"cores", 0.5}, {"memory_mb", 32}, {"sockets", 256}}},
                                       {"dns", dns.text()},
                                       {"known", known},
                                       {"settings", settings()}};
        std::ofstream(file("config.json")) << config.dump();
    }
    virtual nlohmann::json settings() const {
        return nlohmann::json::parse(R"({"classes":[
            {"name":"lookup","aim_us":1000000,"aim_stretch":1.5,"deadline_us":2000000,"effect":"repeatable","late_share":0.5,"value":1}],
            "tenants":[{"name":"acme","quota_per_s":500,"share":1}],"kinds":["std"],"zone":"z","siblings":1,
            "extra":{"size_cores":[8],"size_mb":[16384],"width_by_class":[1],"class_load":[false],"grants":true,"lanes_count":true,"cost_in_answers":true,"note_period_us":100000,"largest_share":0.4,"when_short":"swap"},
            "policy_limits":{"attempts_cap":6,"cancel":true,"connect_timeout_us":250000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,"streams_per_conn":100},
            "report":{"fields":["concurrent","depth"],"source":"answers"},
            "rules":{"cold_share":0.31,"drain_grace_us":2000000,"grace_to_answer_us":20000,"overload_factor":3.0,"overload_for_us":1500000,"warm_up_us":5000000}})");
    }
    void start() {
        const auto listening = names.listen("n0", any_);
        ASSERT_TRUE(listening) << listening.error();
        dns = *listening;
        write_config();
        auto started = lab::Process::start(
            {"/bin/sh", "-c",
             "exec '" GATETILLER_PROGRAM "' --log-level debug node --config '" + file("config.json") + "'"},
            file("log"), kPatience);
        ASSERT_TRUE(started) << started.error();
        process = std::move(*started);
        address = *net::Address::parse(process.first_line());
        clients.push_back(std::make_unique<lab::PlatformClient>(loop, "n0", address, records));
        clients.front()->probe();
        ASSERT_TRUE(await(loop, [&] {
            return clients.front()->ready();
        }));
        next_ask_ = loop.now();
    }
    // Asks on, at a steady rate, for so long.
    void ask_for(Micros span) {
        const Micros end = loop.now() + span;
        while (loop.now() < end) {
            loop.turn(2 * kMillisecond);
            for (; next_ask_ <= loop.now(); next_ask_ += kAskEvery)
                ask();
        }
    }
    void ask() {
        lab::PlatformClient::Ask a;
        a.cls = "lookup", a.tenant = "acme", a.trace = random.hex(16), a.rows = 3;
        a.patience = kDeadline, a.aim = kSecondMicros, a.grace = 500 * kMillisecond;
        a.sql = "SELECT a, b, c FROM sales_" + std::to_string(1 + random.below(16)) +
                ".t /* gt: work_ms=5 rows=3 */ -- " + a.trace;
        clients.front()->ask(a);
        ++asked;
    }
    void expect_rules_kept() {
        ASSERT_TRUE(await(loop, [&] {
            return clients.front()->open() == 0;
        }));
        ClassSettings lookup;
        lookup.name = "lookup", lookup.idempotency = Idempotency::idempotent, lookup.deadline = kDeadline,
        lookup.late_value_share = 0.5;
        records.facts.classes = {lookup};
        records.facts.answer_grace = 20 * kMillisecond,
        records.facts.drain_grace = kGrace + 50 * kMillisecond;
        records.sort();
        const auto judged = lab::judge(records);
        EXPECT_GT(judged.drains, 0u);
        std::size_t shown = 0;
        for (const auto& v : judged.violations)
            if (++shown <= 3)
                ADD_FAILURE() << "rule " << v.rule << ": " << v.what << "\n" << v.story;
        EXPECT_EQ(judged.violations.size(), 0u) << "of " << asked << " requests";
    }

    net::PollLoop loop;
    Random random{7};
    lab::Records records;
    lab::NameService names{loop, records, 5};
    std::map<std::string, lab::NameService::Entry> entries;
    std::vector<std::unique_ptr<lab::PlatformEngine>> engines;
    std::vector<std::unique_ptr<lab::PlatformClient>> clients;
    lab::Process process;
    net::Address dns, address;
    std::size_t asked = 0;

private:
    const net::Address any_ = *net::Address::parse("127.0.0.1:0");
    std::string folder_;
    Micros next_ask_ = 0;
};

}  // namespace gatetiller::testing
