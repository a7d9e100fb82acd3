// Lists of engines that change, come late, break off and come back.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "base/await.hpp"
#include "discovery/endpoint_cache.hpp"
#include "discovery/endpoint_source.hpp"
#include "http/server.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::discovery {
namespace {

std::string list_of(const std::vector<std::string>& names, const std::string& state = "on") {
    std::string text;
    for (const auto& n : names)
        text += (text.empty() ? "" : ", ") +
                ("\"" + n + "\": {\"address\": \"127.0.0.1:1\", \"state\": \"" + state + "\"}");
    return "{\"engines\": {" + text + "}}";
}

class RosterTest : public ::testing::Test {
protected:
    void start(const config::RosterSettings& settings) {
        source = make_source(loop, settings, "f1");
        source->start({[this](auto list) {
                           last = std::move(list), ++lists;
                       },
                       [this](const std::string& why) {
                           reason = why, ++lost;
                       }});
    }
    template <typename C>
    bool until(C condition) {
        return gatetiller::testing::await(loop, condition);
    }
    net::PollLoop loop;
    std::unique_ptr<Source> source;
    std::vector<config::EngineSettings> last;
    int lists = 0, lost = 0;
    std::string reason;
};

TEST_F(RosterTest, AWatchedFileThatIsBrokenOrGoneLeavesTheLastListInForce) {
    const std::string file = ::testing::TempDir() + "roster-" + std::to_string(::getpid()) + ".json";
    const auto write = [&](const std::string& text) {
        std::ofstream(file) << text;
    };
    write(list_of({"a", "b"}));
    start({.file = file, .every = 5 * kMillisecond});
    ASSERT_TRUE(until([&] {
        return lists == 1;
    }));
    EXPECT_EQ(last.size(), 2u);
    write("{\"engines\": {\"a\"");  // as read while it is being written
    ASSERT_TRUE(until([&] {
        return lost == 1;
    }));
    EXPECT_NE(reason.find(file), std::string::npos);
    std::filesystem::remove(file);
    for (int i = 0; i < 20; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(lost, 1);  // told once
    write(list_of({"a", "b"}));
    ASSERT_TRUE(until([&] {
        return lists == 2;
    }));  // the same list, but found again: told
    write(list_of({"a"}, "fading"));
    ASSERT_TRUE(until([&] {
        return lists == 3;
    }));
    EXPECT_EQ(last.at(0).state, EndpointState::draining);
    for (int i = 0; i < 20; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(lists, 3);  // nothing new, nothing told
    std::filesystem::remove(file);
}

TEST_F(RosterTest, AnHttpListIsPolledWithEntityTagsAndItsLossIsToldToWhoeverAsks) {
    std::string tag = "\"1\"", body = list_of({"a"});
    int full = 0, unchanged = 0;
    bool down = false;
    std::string agent;
    http::Server server(loop, {}, [&](http::Request& r, http::Server::Reply reply) {
        agent = r.headers.find("User-Agent").value_or("");
        if (down)
            return reply.send({503, {}, ""});
        http::Response answer{200, {}, body};
        if (r.headers.find("If-None-Match") == tag)
            answer = {304, {}, ""}, ++unchanged;
        else
            ++full;
        answer.headers.add("ETag", tag);
        reply.send(answer);
    });
    const auto at = *server.listen(*net::Address::parse("127.0.0.1:0"));
    start({.http = at, .path = "/list", .every = 5 * kMillisecond});
    ASSERT_TRUE(until([&] {
        return lists == 1 && unchanged >= 3;
    }));
    EXPECT_EQ(full, 1);
    EXPECT_EQ(agent, "gatetiller/f1");
    down = true;
    ASSERT_TRUE(until([&] {
        return lost == 1;
    }));
    for (int i = 0; i < 10; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(lost, 1);
    ASSERT_TRUE(until([&] {
        source->ask();  // passed over while a call is in flight
        return lost == 2;
    }));
    down = false;
    ASSERT_TRUE(until([&] {
        return lists >= 2;
    }));  // unchanged, but there again
    tag = "\"2\"", body = list_of({"a", "c"});
    ASSERT_TRUE(until([&] {
        return last.size() == 2;
    }));
    body = "no list", tag = "\"3\"";
    const int before = lost;
    ASSERT_TRUE(until([&] {
        return lost > before;
    }));
    EXPECT_EQ(last.size(), 2u);
}

TEST(LastList, ComesBackWholeAndIsPassedOverWhereItIsTornAtAnyByte) {
    const std::string file = ::testing::TempDir() + "last-" + std::to_string(::getpid()) + ".json";
    EXPECT_FALSE(read_last_list(file));
    const auto list = *config::read_engine_list(list_of({"a", "b", "c"}, "fading"), "l");
    ASSERT_TRUE(keep_last_list(file, list));
    const auto back = read_last_list(file);
    ASSERT_TRUE(back) << back.error();
    ASSERT_EQ(back->size(), 3u);
    EXPECT_EQ(back->at(1).name, "b");
    EXPECT_EQ(back->at(1).state, EndpointState::draining);
    EXPECT_EQ(back->at(1).address, list[1].address);
    const std::string text = *config::whole_file(file);
    for (std::size_t n = 0; n + 2 < text.size(); ++n) {  // the last brace and the line's end are not missed
        std::ofstream(file, std::ios::trunc) << text.substr(0, n);
        EXPECT_FALSE(read_last_list(file)) << n;
    }
    EXPECT_FALSE(keep_last_list("/nowhere/at/all", list));
    std::filesystem::remove(file);
}

}  // namespace
}  // namespace gatetiller::discovery
