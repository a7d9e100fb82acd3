// Endpoint sources whose lists change, become unavailable and return; and the cached list.
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

std::string list_text(const std::vector<std::string>& engine_names, const std::string& state = "on") {
    std::string text;
    for (const auto& name : engine_names)
        text += (text.empty() ? "" : ", ") +
                ("\"" + name + "\": {\"address\": \"127.0.0.1:1\", \"state\": \"" + state + "\"}");
    return "{\"engines\": {" + text + "}}";
}

class EndpointSourceTest : public ::testing::Test {
protected:
    void start(const config::RosterSettings& settings) {
        source = make_endpoint_source(loop, settings, "f1");
        source->start({[this](auto list) {
                           last_list = std::move(list), ++lists_received;
                       },
                       [this](const std::string& new_reason) {
                           reason = new_reason, ++times_unavailable;
                       }});
    }
    template <typename Condition>
    bool wait_until(Condition condition) {
        return gatetiller::testing::await(loop, condition);
    }
    net::PollLoop loop;
    std::unique_ptr<EndpointSource> source;
    std::vector<config::EngineSettings> last_list;
    int lists_received = 0, times_unavailable = 0;
    std::string reason;
};

TEST_F(EndpointSourceTest, KeepsLastListWhileWatchedFileIsMalformedOrMissing) {
    const std::string file = ::testing::TempDir() + "roster-" + std::to_string(::getpid()) + ".json";
    const auto write = [&](const std::string& text) {
        std::ofstream(file) << text;
    };
    write(list_text({"a", "b"}));
    start({.file = file, .every = 5 * kMillisecond});
    ASSERT_TRUE(wait_until([&] {
        return lists_received == 1;
    }));
    EXPECT_EQ(last_list.size(), 2u);
    write("{\"engines\": {\"a\"");  // as read while the file is being written
    ASSERT_TRUE(wait_until([&] {
        return times_unavailable == 1;
    }));
    EXPECT_NE(reason.find(file), std::string::npos);
    std::filesystem::remove(file);
    for (int i = 0; i < 20; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(times_unavailable, 1);  // reported once
    write(list_text({"a", "b"}));
    ASSERT_TRUE(wait_until([&] {
        return lists_received == 2;
    }));  // the same list, but available again
    write(list_text({"a"}, "fading"));
    ASSERT_TRUE(wait_until([&] {
        return lists_received == 3;
    }));
    EXPECT_EQ(last_list.at(0).state, EndpointState::draining);
    for (int i = 0; i < 20; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(lists_received, 3);  // nothing changed, nothing reported
    std::filesystem::remove(file);
}

TEST_F(EndpointSourceTest, PollsHttpListWithEntityTagsAndReportsUnavailabilityToEachPoll) {
    std::string tag = "\"1\"", body = list_text({"a"});
    int full_responses = 0, not_modified_responses = 0;
    bool unavailable = false;
    std::string user_agent;
    http::Server server(loop, {}, [&](http::Request& request, http::Server::Reply reply) {
        user_agent = request.headers.find("User-Agent").value_or("");
        if (unavailable)
            return reply.send({503, {}, ""});
        http::Response response{200, {}, body};
        if (request.headers.find("If-None-Match") == tag)
            response = {304, {}, ""}, ++not_modified_responses;
        else
            ++full_responses;
        response.headers.add("ETag", tag);
        reply.send(response);
    });
    const auto address = *server.listen(*net::Address::parse("127.0.0.1:0"));
    start({.http = address, .path = "/list", .every = 5 * kMillisecond});
    ASSERT_TRUE(wait_until([&] {
        return lists_received == 1 && not_modified_responses >= 3;
    }));
    EXPECT_EQ(full_responses, 1);
    EXPECT_EQ(user_agent, "gatetiller/f1");
    unavailable = true;
    ASSERT_TRUE(wait_until([&] {
        return times_unavailable == 1;
    }));
    for (int i = 0; i < 10; ++i)
        loop.turn(5 * kMillisecond);
    EXPECT_EQ(times_unavailable, 1);
    ASSERT_TRUE(wait_until([&] {
        source->poll();  // no effect while a poll is in flight
        return times_unavailable == 2;
    }));
    unavailable = false;
    ASSERT_TRUE(wait_until([&] {
        return lists_received >= 2;
    }));  // unchanged, but available again
    tag = "\"2\"", body = list_text({"a", "c"});
    ASSERT_TRUE(wait_until([&] {
        return last_list.size() == 2;
    }));
    body = "no list", tag = "\"3\"";
    const int before = times_unavailable;
    ASSERT_TRUE(wait_until([&] {
        return times_unavailable > before;
    }));
    EXPECT_EQ(last_list.size(), 2u);
}

// Guards against a list in which an engine is named twice, or whose values have another type or range.
TEST(EngineList, IsRejectedUnlessEachMemberOccursOnceAndHasItsType) {
    const auto list_with = [](const std::string& members) {
        return config::read_engine_list("{\"engines\":{\"a\":{\"address\":\"127.0.0.1:1\"" + members + "}}}",
                                        "l");
    };
    ASSERT_TRUE(list_with(R"(,"state":"on","cell":2,"share":0.5,"zone":"z","kind":"std")"));
    for (const char* invalid :
         {R"(,"state":"onn")", R"(,"state":1)", R"(,"state":"on","state":"fading")", R"(,"cell":"2")",
          R"(,"cell":2.5)", R"(,"share":"half")", R"(,"share":-1)", R"(,"zone":3)", R"(,"kind":[])",
          R"(,"stat":"on")", R"(},"a":{"address":"127.0.0.1:2")"})
        EXPECT_FALSE(list_with(invalid)) << invalid;
    EXPECT_FALSE(config::read_engine_list(R"({"engines":{"a":{"state":"on"}}})", "l")) << "no address";
    EXPECT_FALSE(config::read_engine_list(R"({"engines":7})", "l"));
    EXPECT_FALSE(config::read_engine_list("{}", "l"));
}

TEST(EndpointCache, LoadsSavedListAndRejectsTruncatedFile) {
    const std::string file = ::testing::TempDir() + "last-" + std::to_string(::getpid()) + ".json";
    EXPECT_FALSE(load_cached_endpoints(file));
    const auto list = *config::read_engine_list(list_text({"a", "b", "c"}, "fading"), "l");
    ASSERT_TRUE(save_cached_endpoints(file, list));
    const auto loaded = load_cached_endpoints(file);
    ASSERT_TRUE(loaded) << loaded.error();
    ASSERT_EQ(loaded->size(), 3u);
    EXPECT_EQ(loaded->at(1).name, "b");
    EXPECT_EQ(loaded->at(1).state, EndpointState::draining);
    EXPECT_EQ(loaded->at(1).address, list[1].address);
    const std::string text = *config::whole_file(file);
    // Without its last brace and newline the list is still accepted.
    for (std::size_t n = 0; n + 2 < text.size(); ++n) {
        std::ofstream(file, std::ios::trunc) << text.substr(0, n);
        EXPECT_FALSE(load_cached_endpoints(file)) << n;
    }
    EXPECT_FALSE(save_cached_endpoints("/nowhere/at/all", list));
    std::filesystem::remove(file);
}

}  // namespace
}  // namespace gatetiller::discovery
