#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/random.hpp"
#include "statement/completed.hpp"
#include "statement/context.hpp"
#include "statement/document.hpp"
#include "statement/json.hpp"

namespace gatetiller::statement {
namespace {

using Json = nlohmann::json;

Json any(Random& random, int depth) {
    switch (random.below(depth > 4 ? 5 : 7)) {
        case 0:
            return nullptr;
        case 1:
            return random.chance(0.5);
        case 2:
            return static_cast<std::int64_t>(random.next() >> 12) - (1LL << 50);
        case 3:
            return random.uniform(-1e6, 1e6);
        case 4: {
            std::string s;
            for (auto n = random.below(8); n > 0; --n)
                s += std::array{"a", "\"", "\\", "\n", "\x01", "é", "😀", "/"}[random.below(8)];
            return s;
        }
        case 5: {
            Json a = Json::array();
            for (auto n = random.below(4); n > 0; --n)
                a.push_back(any(random, depth + 1));
            return a;
        }
        default: {
            Json o = Json::object();
            for (auto n = random.below(4); n > 0; --n)
                o["k" + std::to_string(random.below(10))] = any(random, depth + 1);
            return o;
        }
    }
}

TEST(Json, MembersAreThoseThatAParserFindsAndBrokenTextIsRefusedAlike) {
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        Random random(seed);
        Json object = Json::object();
        for (auto n = random.below(6); n > 0; --n)
            object["m" + std::to_string(n)] = any(random, 0);
        const bool broken = random.chance(0.5);
        std::string text = object.dump(random.chance(0.5) ? -1 : 2, ' ', broken || random.chance(0.5));
        // Half a surrogate pair is well-formed by the grammar, though this parser refuses it: not broken
        // there.
        if (broken && text.find("\\ud") == std::string::npos) {
            const std::size_t at = random.below(text.size());
            if (random.chance(0.5))
                text.erase(at, 1);
            else
                text[at] = "{}[],:\"\\0-."[random.below(11)];
        }
        const auto found = members(text);
        const Json parsed = Json::parse(text, nullptr, false);
        ASSERT_EQ(found.ok(), parsed.is_object()) << "seed " << seed << ": " << text;
        if (!found)
            continue;
        for (const auto& m : *found) {
            const Json value = Json::parse(m.raw);
            EXPECT_EQ(parsed.at(m.key), value) << "seed " << seed;
            if (value.is_string()) {
                EXPECT_EQ(*as_string(m.raw), value.get<std::string>()) << "seed " << seed;
            }
            if (value.is_array()) {
                EXPECT_EQ(array_length(m.raw), value.size()) << "seed " << seed;
            }
        }
    }
    EXPECT_FALSE(members(std::string(200, '[')));
    EXPECT_FALSE(members("{\"a\":" + std::string(200, '[') + std::string(200, ']') + "}"));
}

TEST(Document, WhatAnEngineWroteIsPassedOnAsItStands) {
    const std::string rows = R"([[1,"x\u00e9",1.50,null],[2,"y",0.1e5,{"a":[]}]])";
    const auto d = read_document(
        R"({"id":"q","infoUri":"i","nextUri":"http://e/v1/statement/executing/q/s/2","columns":[{"name":"a"}],"data":)" +
        rows +
        R"(,"stats":{"state":"RUNNING","queued":false,"scheduled":true,"progressPercentage":12.5,"cpuTimeMillis":7,"spilledBytes":9,"rootStage":{"x":1}},"warnings":[{"w":1}],"unknown":[1],"updateCount":3,"updateType":"INSERT"})");
    ASSERT_TRUE(d) << d.error();
    EXPECT_EQ(d->data, rows);
    EXPECT_EQ(d->stats.progress, 12.5);
    EXPECT_EQ(d->stats.spilled_bytes, 9);
    const auto again = Json::parse(write_document(*d));
    EXPECT_EQ(again["stats"]["rootStage"]["x"], 1);
    EXPECT_EQ(again["warnings"][0]["w"], 1);
    EXPECT_EQ(again["updateCount"], 3);
    EXPECT_FALSE(again.contains("error"));
    Document own;
    own.id = "q";
    own.error = error_named("QUERY_QUEUE_FULL", "no \"room\"");
    const auto refused = Json::parse(write_document(own));
    EXPECT_EQ(refused["error"]["errorType"], "INSUFFICIENT_RESOURCES");
    EXPECT_EQ(refused["error"]["message"], "no \"room\"");
    EXPECT_EQ(refused["warnings"], Json::array());
    EXPECT_FALSE(refused.contains("nextUri"));
    for (const char* bad : {"", "[]", "{}", "{\"id\":\"q\",\"data\":{}}", "{\"id\":\"q\",\"stats\":1}",
                            "{\"id\":\"q\"", "<html>"})
        EXPECT_FALSE(read_document(bad)) << bad;
}

// Guards against a `nextUri` that cannot be read counting as absent: the document then looked like the last
// one, and its rows like the whole result.
TEST(Document, IsNotReadUnlessEachMemberOccursOnceAndHasItsType) {
    const auto document_with = [](const std::string& member) {
        return read_document(R"({"id":"q","infoUri":"i",)" + member + R"(,"stats":{"state":"RUNNING"}})");
    };
    ASSERT_TRUE(document_with(R"("nextUri":"http://e/v1/statement/executing/q/s/2","data":[[1]])"));
    EXPECT_TRUE(document_with(R"("nextUri":null,"data":null,"error":null)"));  // as if absent
    for (const char* invalid : {R"("nextUri":7)",
                                R"("nextUri":true)",
                                R"("nextUri":[])",
                                R"("nextUri":{"uri":"http://e/x"})",
                                R"("nextUri":"")",
                                R"("nextUri":"http://e/x","nextUri":"http://e/y")",
                                R"("nextUri":"http://e/x","nextUri":null)",
                                R"("nextUri":"http://e/x","next\u0055ri":"http://e/y")",
                                R"("data":{})",
                                R"("data":"rows")",
                                R"("data":[[1]],"data":[[2]])",
                                R"("columns":{})",
                                R"("columns":1)",
                                R"("warnings":"none")",
                                R"("error":"text")",
                                R"("error":[])",
                                R"("error":{},"error":{})",
                                R"("error":{"message":"a","message":"b"})",
                                R"("updateType":1)",
                                R"("updateCount":"3")",
                                R"("partialCancelUri":1)",
                                R"("stats":{"state":"RUNNING"})"})
        EXPECT_FALSE(document_with(invalid)) << invalid;
    EXPECT_FALSE(read_document(R"({"id":7,"stats":{}})"));
    EXPECT_FALSE(read_document(R"({"id":"q","id":"q","stats":{}})"));
    EXPECT_FALSE(read_document(R"({"id":"q","stats":[]})"));
    EXPECT_FALSE(read_document(R"({"id":"q","stats":{"state":"RUNNING","state":"FAILED"}})"));
}

// Guards against statistics that cannot be read counting as proof that a query has not executed, and against
// figures out of range reaching the policy and the accounts.
TEST(Document, StatisticsAreInvalidUnlessTheStateAndAllFiguresCanBeRead) {
    const auto stats_of = [](const std::string& stats) {
        return read_document("{\"id\":\"q\"" + (stats.empty() ? "" : ",\"stats\":" + stats) + "}")->stats;
    };
    const Stats valid = stats_of(
        R"({"state":"QUEUED","queued":true,"progressPercentage":12.5,"cpuTimeMillis":7.0,"nodes":null})");
    EXPECT_TRUE(valid.valid);
    EXPECT_TRUE(valid.queued);
    EXPECT_EQ(valid.cpu_ms, 7);
    EXPECT_EQ(valid.progress, 12.5);
    for (const char* invalid :
         {"", "{}", R"({"state":null})", R"({"state":7})", R"({"state":"RUNN1NG"})", R"({"state":"queued"})",
          R"({"state":"QUEUED","queued":1})", R"({"state":"QUEUED","queued":"true"})",
          R"({"state":"QUEUED","scheduled":"x"})", R"({"state":"QUEUED","cpuTimeMillis":"7"})",
          R"({"state":"QUEUED","cpuTimeMillis":-7})", R"({"state":"QUEUED","cpuTimeMillis":1e16})",
          R"({"state":"QUEUED","cpuTimeMillis":1e999})", R"({"state":"QUEUED","cpuTimeMillis":true})",
          R"({"state":"QUEUED","peakMemoryBytes":99999999999999999999})",
          R"({"state":"QUEUED","progressPercentage":101})", R"({"state":"QUEUED","progressPercentage":-1})",
          R"({"state":"QUEUED","progressPercentage":"12"})"}) {
        const Stats stats = stats_of(invalid);
        EXPECT_FALSE(stats.valid) << invalid;
        EXPECT_EQ(stats.cpu_ms, 0) << invalid;
        EXPECT_EQ(stats.peak_memory_bytes, 0) << invalid;
        EXPECT_EQ(stats.progress, std::nullopt) << invalid;
    }
    EXPECT_EQ(stats_of("").state, "RUNNING");
    EXPECT_EQ(stats_of(R"({"state":"RUNN1NG"})").state, "RUNNING");
}

TEST(Context, ReadsBothFamiliesAndKeepsWhatAClientSet) {
    for (const std::string family : {"X-Trino-", "x-presto-"}) {
        http::Headers h;
        h.add(family + "User", "u");
        h.add(family + "Client-Tags", "a, b");
        h.add(family + "Session", "one=x%2Cy,query_max_run_time=5s");
        h.add(family + "Session", "query_max_execution_time=3s");
        h.add(family + "Resource-Estimate", "CPU_TIME=5m,PEAK_MEMORY=10MB");
        h.add("Cookie", "not passed on");
        const auto c = read_context(h);
        ASSERT_TRUE(c) << c.error();
        EXPECT_EQ(c->tags, (std::vector<std::string>{"a", "b"}));
        EXPECT_EQ(c->session.at("one"), "x,y");
        EXPECT_EQ(c->run_limit, 3 * kSecondMicros);
        EXPECT_EQ(c->cpu_estimate, 300 * kSecondMicros);
        EXPECT_EQ(c->memory_estimate, 1e7);
        const auto to_engine = engine_headers(*c, {{"query_max_memory", "64MB"}});
        const auto session = std::string(*to_engine.find(c->prefix + "Session"));
        EXPECT_NE(session.find("one=x%2Cy"), std::string::npos);
        EXPECT_NE(session.find("query_max_memory=64MB"), std::string::npos);
        EXPECT_FALSE(to_engine.find("Cookie"));
    }
    http::Headers none;
    EXPECT_FALSE(read_context(none));
    none.add("X-Trino-User", "u");
    none.add("X-Trino-Resource-Estimate", "CPU_TIME=soon");
    EXPECT_NE(read_context(none).error().find("CPU_TIME"), std::string::npos);
}

// Guards against one of two users or tokens counting, and against estimates out of range reaching the
// policy's moving averages.
TEST(Context, IsRejectedWithRepeatedHeadersOrEstimatesOutOfRange) {
    const auto error_with = [](std::initializer_list<std::pair<const char*, const char*>> more) {
        http::Headers headers;
        headers.add("X-Trino-User", "u");
        headers.add("X-Trino-Trace-Token", "t");
        for (const auto& [name, value] : more)
            headers.add(name, value);
        const auto context = read_context(headers);
        return context ? std::string("none") : context.error();
    };
    EXPECT_EQ(error_with({{"X-Trino-Resource-Estimate", "CPU_TIME=1d,PEAK_MEMORY=9TB"}}), "none");
    EXPECT_NE(error_with({{"X-Trino-User", "v"}}).find("User occurs twice"), std::string::npos);
    EXPECT_NE(error_with({{"x-trino-trace-token", "t"}}).find("Trace-Token occurs twice"), std::string::npos);
    EXPECT_NE(error_with({{"X-Trino-Source", "a"}, {"X-Trino-Source", "a"}}), "none");
    EXPECT_NE(error_with({{"X-Trino-Catalog", "a"}, {"X-Trino-Catalog", "b"}}), "none");
    EXPECT_NE(error_with({{"X-Trino-Schema", "a"}, {"X-Trino-Schema", "b"}}), "none");
    for (const char* invalid : {"CPU_TIME=", "CPU_TIME=5", "CPU_TIME=-5s", "CPU_TIME=nan", "CPU_TIME=1e3s",
                                "CPU_TIME=100000001s", "EXECUTION_TIME=9000000000000s", "PEAK_MEMORY=1",
                                "PEAK_MEMORY=-1MB", "PEAK_MEMORY=infMB", "PEAK_MEMORY=99999999TB"})
        EXPECT_NE(error_with({{"X-Trino-Resource-Estimate", invalid}}), "none") << invalid;
    for (const char* invalid :
         {"query_max_run_time=soon", "query_max_execution_time=5", "query_max_run_time=-1s"})
        EXPECT_NE(error_with({{"X-Trino-Session", invalid}}), "none") << invalid;
}

// Guards against an account of a query in which a member counts although it cannot be read or is given twice.
TEST(Completed, IsRejectedUnlessEachMemberOccursOnceAndCanBeRead) {
    const auto with = [](const std::string& statistics, const std::string& rest = "") {
        return read_completed(R"({"metadata":{"queryId":"q"},"statistics":{)" + statistics +
                              R"(},"createTime":1.5,"endTime":2.5)" + rest + "}");
    };
    const auto valid = with(R"("cpuTime":1.5,"wallTime":"PT2S","peakUserMemoryBytes":7,"spilledBytes":null)");
    ASSERT_TRUE(valid) << valid.error();
    EXPECT_EQ(valid->cpu, 1'500'000);
    EXPECT_EQ(valid->peak_memory_bytes, 7);
    for (const char* invalid :
         {R"("cpuTime":"soon")", R"("cpuTime":-1)", R"("cpuTime":1e9)", R"("cpuTime":"PT-1S")",
          R"("cpuTime":"PT1e9S")", R"("cpuTime":true)", R"("cpuTime":1,"cpuTime":2)", R"("spilledBytes":1.5)",
          R"("spilledBytes":-1)", R"("spilledBytes":"1")", R"("spilledBytes":18446744073709551615)"})
        EXPECT_FALSE(with(invalid)) << invalid;
    for (const char* invalid : {R"(,"createTime":3)", R"(,"context":7)", R"(,"context":{"user":7})",
                                R"(,"context":{"clientTags":"a"})", R"(,"context":{"clientTags":[1]})",
                                R"(,"metadata":{"queryId":"p"})"})
        EXPECT_FALSE(with("", invalid)) << invalid;
    EXPECT_FALSE(read_completed(R"({"metadata":{"queryId":"q"},"createTime":1})")) << "no endTime";
    EXPECT_FALSE(read_completed(R"({"metadata":{"queryId":"q"},"createTime":1,"endTime":1e12})"));
    EXPECT_FALSE(
        read_completed(R"({"metadata":{"queryId":"q"},"createTime":1,"endTime":"2026-13-01T00:00:00Z"})"));
    EXPECT_FALSE(read_completed(R"({"metadata":{},"createTime":1,"endTime":2})")) << "no id";
}

}  // namespace
}  // namespace gatetiller::statement
