#include "lab/script.hpp"

#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "lab/bench_day.hpp"

namespace gatetiller::lab {
namespace {

TEST(Script, TheExamplesAreFine) {
    for (const char* name : {"day.jsonnet", "rate.jsonnet", "rate-bad.jsonnet"}) {
        const std::string file = std::string(GATETILLER_EXAMPLES) + "/" + name;
        const auto text = config::whole_file(file);
        ASSERT_TRUE(text) << text.error();
        const auto script = load_script(file, *text);
        ASSERT_TRUE(script) << script.error();
        EXPECT_EQ(script->troubles.empty(), std::string(name) == "rate.jsonnet");
    }
}

TEST(Script, MistakesAreTold) {
    const auto mistake = [](const std::string& more) {
        const auto s = load_script(
            "s", "{ length: '1s', front: {}, engines: {}, traffic: { rate: 1, classes: {} }, " + more + " }");
        return s ? "" : s.error();
    };
    EXPECT_EQ(mistake(""), "");
    EXPECT_NE(mistake("troubles: [{ name: 'crush', at: '1s' }]").find("did you mean 'crash'?"),
              std::string::npos);
    EXPECT_NE(mistake("troubles: [{ name: 'crash' }]").find("'at' is missing"), std::string::npos);
    EXPECT_NE(mistake("troubles: [{ name: 'crash', at: '1s', part: 2 }]").find("out of range"),
              std::string::npos);
    EXPECT_NE(mistake("troubles: [{ name: 'crash', at: '1s', on: 'all' }]").find("[0, 2]"),
              std::string::npos);
}

// A day as the operators' bench draws them, with figures of our own.
nlohmann::json day() {
    return nlohmann::json::parse(R"({
        "family": "queries", "noise": 77, "length": 10000000, "tail": 2000000, "zones": ["z1"], "drain_grace": 2000000,
        "fall_multiple": 3.0, "fall_for": 1500000,
        "traffic": {"load": 0.5, "shape": [[0, 1]], "over_share_worth": 0.1},
        "clients": {"retries": 1, "try_share": 0.9, "backoff_us": 200000, "honour": 0.5, "max_retry_after": 2000000, "impatient": 0.01},
        "discovery": {"notice": 900000},
        "allow": {"max_attempts": 5, "cancel": true, "retry_after": true},
        "classes": [
            {"name": "a", "share": 8, "work": 100000, "cv": 1, "aim": 500000, "aim_stretch": 2, "deadline": 4000000, "effect": "safe", "group": "all", "window": 5000000, "late_worth": 0.2, "worth": 1},
            {"name": "b", "share": 2, "work": 2000000, "cv": 1, "aim": 2000000, "aim_stretch": 2, "deadline": 9000000, "effect": "keyed", "group": "zone", "window": 7000000, "late_worth": 0.5, "worth": 9}],
        "tenants": [{"name": "t", "share": 1, "traffic": 1, "quota": 0.8}],
        "tiers": [{"kinds": [{"name": "k", "cores": 4, "cancel": "all", "cold_from": 0.4, "cold": 3000000}], "report_how": "answers", "stated_cold_from": 0.3, "stated_cold": 4000000}],
        "servers": [{"kind": 0, "zone": 0, "speed": 0.9}, {"kind": 0, "zone": 0, "speed": 1.1}],
        "balancers": [{}, {}],
        "troubles": [{"kind": "slow", "at": 1000000, "len": 2000000, "size": 3, "extra": 0, "on": [1], "steps": []},
                     {"kind": "eclipse", "at": 1, "len": 1}],
        "fam": {"capacity": 40, "memory_per_core": 2048, "disks_per_core": 1.1, "knee": 1.5, "thrash": 0.5, "spill": 2, "when_short": "shrink", "warm_groups": 3,
                "warm_gain": 0.5, "priorities": false, "grants": true, "tells_cost": true, "progress": 500000, "error": 0.4, "groups": 12, "runaway_times": 10,
                "sorts": [{"io": 0.3, "memory": 100, "threads": 1, "load": false, "waits": true, "runaway": 0},
                          {"io": 0.5, "memory": 400, "threads": 2, "load": true, "waits": false, "runaway": 0.05}]}})");
}

TEST(BenchDay, BecomesAScriptThatAFrontAcceptsAndTellsWhatItLeavesOut) {
    std::vector<std::string> left_out;
    const auto made = script_of_bench_day(day(), left_out);
    ASSERT_TRUE(made) << made.error();
    const auto script = load_script("day", made->dump());
    ASSERT_TRUE(script) << script.error();
    EXPECT_EQ(script->traffic.rate, 20);
    EXPECT_EQ(script->fronts, 2);
    EXPECT_GE(script->lead, 4 * kSecondMicros);  // warm when the day begins
    ASSERT_EQ(script->engines.size(), 2u);
    EXPECT_EQ(script->engines[1].machine["speed"], 1.1);
    EXPECT_EQ(script->engines[0].machine["when_short"], "trim");
    EXPECT_NEAR(script->engines[0].machine["bad_plans"].get<double>(), 0.01, 1e-9);
    ASSERT_EQ(script->troubles.size(), 1u);
    EXPECT_EQ(script->troubles[0].on, std::vector<std::size_t>{1});
    EXPECT_EQ(left_out.front(), "trouble 'eclipse'");
    auto front = script->front;
    front["listen"] = {"127.0.0.1:0"};
    front["engines"] = {{"e", {{"address", "127.0.0.1:1"}, {"kind", "k"}, {"zone", "z1"}}}};
    const auto loaded = config::load_front_text("front", front.dump());
    ASSERT_TRUE(loaded) << loaded.error();
    EXPECT_EQ(loaded->front.module.classes.at(1).idempotency, Idempotency::keyed);
    EXPECT_EQ(loaded->front.module.classes.at(1).key_scope, KeyScope::zone);
    EXPECT_EQ(loaded->front.module.tenants.at(0).quota_per_s, 32);
    auto torn = day();
    torn.erase("fam");
    EXPECT_FALSE(script_of_bench_day(torn, left_out));
    torn["family"] = "caches";
    EXPECT_FALSE(script_of_bench_day(torn, left_out));
}

}  // namespace
}  // namespace gatetiller::lab
