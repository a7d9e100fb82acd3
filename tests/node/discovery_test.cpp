// Polling of a name service that is slow or silent or has long lists, in virtual time.
#include <ctime>

#include "discovery/dns_endpoint_source.hpp"
#include "dns/dns.hpp"
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

class DiscoveryTest : public VirtualNodeTest {
protected:
    bool receives_endpoint(const std::string& name, Micros max_wait) {
        return run_until(
            [&] {
                return node->status().find(name) != std::string::npos;
            },
            max_wait);
    }
};

TEST_F(DiscoveryTest, ReceivesUpdatesFromServiceSlowerThanThePollInterval) {
    add_engine("s-1");
    start();
    for (const int seconds : {1, 2, 4}) {
        name_service.set({.slow = seconds * kSecondMicros});
        advance_time(10 * kSecondMicros);
        const std::string name = "s-new-" + std::to_string(seconds);
        publish_endpoint(name, listen_address("127.1.9." + std::to_string(seconds) + ":5050"));
        EXPECT_TRUE(receives_endpoint(name, (2 * seconds + 3) * kSecondMicros))
            << "responses that take " << seconds << " s";
    }
}

// Guards against an engine in slow start being sent as much as an old one because its start cannot be read.
TEST_F(DiscoveryTest, ListWithAnUnreadableStartIsIgnoredUntilItCanBeRead) {
    add_engine("s-1");
    start();
    bool readable = false;
    name_service.alter_text = [&](const std::string& name, std::string text) {
        return name == "s-new" && text.starts_with("started=") && !readable ? "started=1x64806400000" : text;
    };
    lab::NameService::Entry entry{"s-new", "z", "std", {{"n0", listen_address("127.1.9.1:5050")}}};
    entry.started_ms = loop.wall() / kMillisecond;
    name_service.put(entry);
    advance_time(3 * kSecondMicros);
    EXPECT_EQ(node->status().find("s-new"), std::string::npos) << node->status();
    EXPECT_EQ(node->status().find(" bad_lists=0"), std::string::npos) << node->status();
    EXPECT_NE(log.find("s-new.z.hosts has a start that is not a time"), std::string::npos) << log;
    readable = true;
    EXPECT_TRUE(receives_endpoint("s-new", kSecondMicros)) << node->status();
    EXPECT_NE(log.find("engine s-new is ready, up for"), std::string::npos) << log;
}

TEST_F(DiscoveryTest, PollsSlowServiceLessOften) {
    add_engine("s-1");
    start();
    name_service.set({.slow = 2 * kSecondMicros});
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(20 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 45u) << "in 20 s";
}

TEST_F(DiscoveryTest, BacksOffWhileServiceIsSilent) {
    add_engine("s-1");
    start();
    advance_time(2 * kSecondMicros);
    name_service.set({.silent = true});
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(20 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 30u) << "in 20 s of silence";
    EXPECT_GE(name_service.questions() - before, 10u) << "in 20 s of silence";
    // An update after its return arrives within the delay that an outage may add.
    name_service.set({});
    publish_endpoint("s-new", listen_address("127.1.9.9:5050"));
    EXPECT_TRUE(receives_endpoint("s-new", 2'500 * kMillisecond));
}

// During the time in which an update counts as announced before the node has received it.
TEST_F(DiscoveryTest, PollsAtSteadyRateDuringShortSilence) {
    add_engine("s-1");
    start();
    advance_time(2 * kSecondMicros);
    name_service.set({.silent = true});
    for (int i = 0; i < 25; ++i) {
        const auto before = name_service.questions();
        advance_time(300 * kMillisecond);
        EXPECT_GE(name_service.questions(), before + 1) << i;
    }
}

// Earlier slow responses must not reduce the polling rate of a service that has stopped responding.
TEST_F(DiscoveryTest, PollsAtSteadyRateDuringSilenceAfterSlowResponses) {
    add_engine("s-1");
    start();
    name_service.set({.slow = kSecondMicros});
    advance_time(10 * kSecondMicros);
    name_service.set({.silent = true});
    advance_time(3 * kSecondMicros);
    for (int i = 0; i < 10; ++i) {
        const auto before = name_service.questions();
        advance_time(300 * kMillisecond);
        EXPECT_GE(name_service.questions(), before + 1) << i;
    }
}

// Responses to many polls arrive together and late: the next poll must not wait for the last of them.
TEST_F(DiscoveryTest, LateResponsesDoNotDelayPolls) {
    add_engine("s-1");
    start();
    name_service.set({.slow = 2 * kSecondMicros});
    advance_time(10 * kSecondMicros);
    for (int i = 0; i < 20; ++i) {
        const auto before = name_service.questions();
        advance_time(600 * kMillisecond);
        EXPECT_GE(name_service.questions(), before + 1) << i;
    }
}

TEST_F(DiscoveryTest, TwoLostResponsesDelayAnUpdateOnlyBriefly) {
    add_engine("s-1");
    start();
    advance_time(2 * kSecondMicros);
    name_service.set({.silent = true});
    advance_time(300 * kMillisecond);
    publish_endpoint("s-new", listen_address("127.1.9.9:5050"));
    name_service.set({});
    EXPECT_TRUE(receives_endpoint("s-new", 500 * kMillisecond));
}

TEST_F(DiscoveryTest, PollsHealthyServiceFourTimesPerSecond) {
    add_engine("s-1");
    start();
    advance_time(30 * kSecondMicros);
    const auto polls_before = name_service.questions();
    advance_time(30 * kSecondMicros);
    EXPECT_NEAR(static_cast<double>(name_service.questions() - polls_before), 120, 20);
}

// ---- Long lists: the cost of each response, in bytes at the service and in processor time of the node

class LongListTest : public DiscoveryTest {
protected:
    static constexpr int kEngines = 576;
    void start_with_long_list() {
        add_engine("s-1");
        for (int i = 0; i < kEngines; ++i)
            publish_endpoint("s-many-" + std::to_string(i),
                             listen_address("127.3." + std::to_string(i / 200) + "." +
                                            std::to_string(i % 200 + 1) + ":5050"));
        start();
    }
};

TEST_F(LongListTest, PollsLongListLessOftenAndReceivesUpdatesInTime) {
    start_with_long_list();
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(30 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 40u) << "in 30 s";
    for (int i = 0; i < 5; ++i) {
        const std::string name = "s-new-" + std::to_string(i);
        publish_endpoint(name, listen_address("127.1.9." + std::to_string(i + 1) + ":5050"));
        EXPECT_TRUE(run_until(
            [&] {
                return log.find("engine " + name + " is ready") != std::string::npos;
            },
            1'500 * kMillisecond));
        advance_time(700 * kMillisecond);
    }
}

// A service that repeats one response or alternates between two, and a source that polls it.
class RepeatedResponses : public LongListTest {
protected:
    void SetUp() override {
        start_with_long_list();
        const auto poller = loop.datagrams(listen_address("127.2.0.8:1053"),
                                           [this](const net::Address&, std::string_view bytes) {
                                               first = second = bytes;
                                           });
        ASSERT_TRUE(poller) << poller.error();
        (*poller)->send(settings.dns, dns::encode_srv_query(1, "_work._tcp.fleet.local"));
        ASSERT_TRUE(run_until([&] {
            return !first.empty();
        }));
        node.reset();
        second.replace(second.rfind("kind=std"), 8, "kind=big");
    }
    // Returns the processor time, in seconds, in which a new source handles this many responses.
    double cpu_seconds(std::size_t answers, bool in_turn) {
        std::size_t sent = 0, received = 0;
        net::Datagrams* answering = nullptr;
        const auto service = loop.datagrams(
            listen_address("127.2.0.9:1053"), [&](const net::Address& from, std::string_view question) {
                std::string answer = in_turn && ++sent % 2 == 0 ? second : first;
                answering->send(from, answer.replace(0, 2, question.substr(0, 2)));
            });
        EXPECT_TRUE(service) << service.error();
        answering = service->get();
        discovery::DnsEndpointSource source(loop, "_work._tcp.fleet.local", 5, {},
                                            {[&](const auto&) {
                                                 ++received;
                                             },
                                             [&](std::uint32_t) {
                                                 return ++received, true;
                                             },
                                             [](const std::string&) {}});
        EXPECT_TRUE(source.start(listen_address("127.2.0.8:0"), answering->address()));
        const std::clock_t before = std::clock();
        EXPECT_TRUE(run_until(
            [&] {
                return received >= answers;
            },
            600 * kSecondMicros));
        return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    }
    std::string first, second;
};

TEST_F(RepeatedResponses, UnchangedResponseCostsFractionOfChangedOne) {
    const double changing = cpu_seconds(100, true), same = cpu_seconds(100, false);
    EXPECT_LT(same, changing / 2);
}

}  // namespace
}  // namespace gatetiller::testing
