// The platform's configuration file: parsed values, and errors that name the invalid member.
#include "node/config.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace gatetiller::node {
namespace {

nlohmann::json valid_config() {
    return nlohmann::json::parse(R"({"name":"n3","listen":"127.0.0.4:5050","seed":"8c1f30d27a5be964",
        "limits":{"cores":0.5,"memory_mb":32,"sockets":256},"dns":"127.2.0.1:1053",
        "known":{"offset":3,"batch":[
          {"offset":1,"topology":{"generation":1,"reset":true,"instances":[
            {"instanceId":"s-1","hostPort":"127.1.0.1:5050","zone":"z","machineType":"std","cell":2,"lifecycle":"active","weight":4,"startedAtMs":0},
            {"instanceId":"s-2","hostPort":"127.1.0.2:5050","zone":"z","machineType":"std","cell":2,"lifecycle":"active","weight":4,"startedAtMs":7}]}},
          {"offset":3,"topology":{"generation":2,"reset":false,"instances":[
            {"instanceId":"s-2","hostPort":"127.1.0.2:5050","lifecycle":"left"},
            {"instanceId":"s-1","hostPort":"127.1.0.1:5050","zone":"z","machineType":"std","lifecycle":"leaving"}]}}]},
        "settings":{"classes":[{"name":"q","aim_us":1000000,"deadline_us":4000000,"effect":"repeatable"}],
          "policy_limits":{"idle_close_us":30000000,"streams_per_conn":100}}})");
}

TEST(NodeConfig, MergesInitialEventsIntoOneList) {
    const auto settings = read_config(valid_config().dump());
    ASSERT_TRUE(settings) << settings.error();
    EXPECT_EQ(settings->seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(settings->known_serial, 3u);
    ASSERT_EQ(settings->known_endpoints.size(), 1u);
    EXPECT_EQ(settings->known_endpoints[0].name, "s-1");
    EXPECT_EQ(settings->known_endpoints[0].state, EndpointState::draining);
    EXPECT_EQ(settings->dns.text(), "127.2.0.1:1053");
    EXPECT_EQ(settings->idle_timeout, 30 * kSecondMicros);
    EXPECT_EQ(settings->policy.classes.size(), 1u);
}

TEST(NodeConfig, ErrorsNameTheInvalidMember) {
    const auto error = [](const char* pointer, const nlohmann::json& value) {
        auto json = valid_config();
        json[nlohmann::json::json_pointer(pointer)] = value;
        const auto settings = read_config(json.dump());
        return settings ? std::string("fine") : settings.error();
    };
    const std::pair<const char*, nlohmann::json> wrong[] = {
        {"/listen", "nowhere"},
        {"/listen", 5},
        {"/dns", "a.b:1"},
        {"/seed", "xyz"},
        {"/limits/sockets", 0},
        {"/limits/memory_mb", "much"},
        {"/limits/cores", -1},
        {"/known/offset", nullptr},
        {"/known/offset", 0},
        {"/known/offset", -3},
        {"/known/offset", 3.5},
        {"/known/offset", "3"},
        {"/known/batch/0/topology/instances/0/instanceId", 7},
        {"/known/batch/0/topology/instances/0/hostPort", "127.1.0.1:99999"},
        {"/known/batch/0/topology/instances/0/zone", 1},
        {"/known/batch/0/topology/instances/0/machineType", true},
        {"/known/batch/0/topology/instances/0/cell", "2"},
        {"/known/batch/0/topology/instances/0/cell", 2.5},
        {"/known/batch/0/topology/instances/0/cell", nullptr},
        {"/known/batch/0/topology/instances/0/cell", 9223372036854775808ULL},
        {"/known/batch/0/topology/instances/0/weight", "x"},
        {"/known/batch/0/topology/instances/0/startedAtMs", "now"},
        {"/known/batch/0/topology/instances/0/startedAtMs", -1},
        {"/known/batch/0/topology/instances/0/startedAtMs", 1e300},
        {"/known/batch/0/topology/instances/0/startedAtMs", 18446744073709551615ULL},
        {"/known/batch/0/topology/instances/0/startedAtMs", 9223372036854775807LL},
        {"/known/batch/0/topology/instances/0/lifecycle", 1},
        {"/known/batch/0/topology/instances/0/lifecycle", "ill"},
        {"/settings/classes", nlohmann::json::array()},
        {"/settings/classes/0/effect", "maybe"}};
    for (const auto& [pointer, value] : wrong) {
        const std::string name = std::string(pointer).substr(std::string(pointer).rfind('/') + 1);
        EXPECT_NE(error(pointer, value).find(name), std::string::npos)
            << pointer << ": " << error(pointer, value);
    }
    auto incomplete = valid_config();
    incomplete.erase("dns");
    EXPECT_NE(read_config(incomplete.dump()).error().find("dns is missing"), std::string::npos);
    EXPECT_FALSE(read_config("{"));
    EXPECT_FALSE(load_config("/nowhere/config.json"));
}

// Guards against a later event that lacks a member resetting it: an engine moved to cell 0, where a keyed
// request may be repeated, or became old, or ready.
TEST(NodeConfig, MembersThatALaterEventLacksKeepTheirValues) {
    auto json = valid_config();
    auto& instances = json["known"]["batch"][0]["topology"]["instances"];
    instances[0]["startedAtMs"] = 1'764'806'400'000;
    instances[0]["lifecycle"] = "leaving";
    json["known"]["batch"][1]["topology"]["instances"] = {
        {{"instanceId", "s-1"}, {"hostPort", "127.1.0.9:5050"}}};
    const auto settings = read_config(json.dump());
    ASSERT_TRUE(settings) << settings.error();
    ASSERT_EQ(settings->known_endpoints.size(), 2u);
    const auto& endpoint = settings->known_endpoints[1];
    EXPECT_EQ(endpoint.name, "s-1");
    EXPECT_EQ(endpoint.address, "127.1.0.9:5050");
    EXPECT_EQ(endpoint.zone, "z");
    EXPECT_EQ(endpoint.kind, "std");
    EXPECT_EQ(endpoint.cell, 2);
    EXPECT_EQ(endpoint.share, 4);
    EXPECT_EQ(endpoint.started_at, 1'764'806'400 * kSecondMicros);
    EXPECT_EQ(endpoint.state, EndpointState::draining);
}

// Guards against a member of which either value counts.
TEST(NodeConfig, RejectsRepeatedMembers) {
    std::string text = valid_config().dump();
    const std::string member = "\"lifecycle\":\"leaving\"";
    text.insert(text.find(member), "\"lifecycle\":\"active\",");
    const auto settings = read_config(text);
    ASSERT_FALSE(settings);
    EXPECT_NE(settings.error().find("lifecycle occurs twice"), std::string::npos) << settings.error();
}

}  // namespace
}  // namespace gatetiller::node
