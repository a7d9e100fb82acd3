// The watch of the name service where that is slow, crowded or silent, in virtual time.
#include <ctime>

#include "discovery/dns_endpoint_source.hpp"
#include "dns/dns.hpp"
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

class Discovery : public VirtualNodeTest {
protected:
    bool hears_of(const std::string& name, Micros longest) {
        return run_until(
            [&] {
                return node->status().find(name) != std::string::npos;
            },
            longest);
    }
};

TEST_F(Discovery, AServiceSlowerThanItsQuestionsIsHeard) {
    add_engine("s-1");
    start();
    for (const int seconds : {1, 2, 4}) {
        name_service.set({.slow = seconds * kSecondMicros});
        advance_time(10 * kSecondMicros);
        const std::string name = "s-new-" + std::to_string(seconds);
        publish_endpoint(name, listen_address("127.1.9." + std::to_string(seconds) + ":5050"));
        EXPECT_TRUE(hears_of(name, (2 * seconds + 3) * kSecondMicros))
            << "answers that take " << seconds << " s";
    }
}

TEST_F(Discovery, ASlowServiceIsAskedLessOften) {
    add_engine("s-1");
    start();
    name_service.set({.slow = 2 * kSecondMicros});
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(20 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 45u) << "in 20 s";
}

TEST_F(Discovery, AServiceThatSaysNothingIsAskedLessAndLessOften) {
    add_engine("s-1");
    start();
    advance_time(2 * kSecondMicros);
    name_service.set({.silent = true});
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(20 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 30u) << "in 20 s of silence";
    EXPECT_GE(name_service.questions() - before, 10u) << "in 20 s of silence";
    // Its return is heard within what an outage may add.
    name_service.set({});
    publish_endpoint("s-new", listen_address("127.1.9.9:5050"));
    EXPECT_TRUE(hears_of("s-new", 2'500 * kMillisecond));
}

// For as long as a change may count as told before it is heard.
TEST_F(Discovery, ASilenceIsAskedThroughAtTheSteadyPace) {
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

// Answers that were slow before say nothing of a service that gives none.
TEST_F(Discovery, ASilenceBehindSlowAnswersIsAskedThroughAtTheSteadyPace) {
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

// The answers to many questions come at once, late: the next question must not wait for the last of them.
TEST_F(Discovery, LateAnswersDelayNoQuestion) {
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

TEST_F(Discovery, TwoAnswersLostInARowDelayAChangeByLittle) {
    add_engine("s-1");
    start();
    advance_time(2 * kSecondMicros);
    name_service.set({.silent = true});
    advance_time(300 * kMillisecond);
    publish_endpoint("s-new", listen_address("127.1.9.9:5050"));
    name_service.set({});
    EXPECT_TRUE(hears_of("s-new", 500 * kMillisecond));
}

TEST_F(Discovery, AHealthyServiceIsAskedFourTimesASecond) {
    add_engine("s-1");
    start();
    advance_time(30 * kSecondMicros);
    const auto asked = name_service.questions();
    advance_time(30 * kSecondMicros);
    EXPECT_NEAR(static_cast<double>(name_service.questions() - asked), 120, 20);
}

// ---- Long lists: what each answer costs, in bytes of the service and in time of the front

class LongLists : public Discovery {
protected:
    static constexpr int kEngines = 576;
    void start_with_many() {
        add_engine("s-1");
        for (int i = 0; i < kEngines; ++i)
            publish_endpoint("s-many-" + std::to_string(i),
                             listen_address("127.3." + std::to_string(i / 200) + "." +
                                            std::to_string(i % 200 + 1) + ":5050"));
        start();
    }
};

TEST_F(LongLists, ALongListIsAskedForLessOftenAndAChangeIsHeardInTime) {
    start_with_many();
    advance_time(10 * kSecondMicros);
    const auto before = name_service.questions();
    advance_time(30 * kSecondMicros);
    EXPECT_LE(name_service.questions() - before, 40u) << "in 30 s";
    for (int i = 0; i < 5; ++i) {
        const std::string name = "s-new-" + std::to_string(i);
        publish_endpoint(name, listen_address("127.1.9." + std::to_string(i + 1) + ":5050"));
        EXPECT_TRUE(run_until(
            [&] {
                return log.find("engine " + name + " is on") != std::string::npos;
            },
            1'500 * kMillisecond));
        advance_time(700 * kMillisecond);
    }
}

// A service that gives one answer over and over, or two in turn, and a source that asks it.
class RepeatedAnswers : public LongLists {
protected:
    void SetUp() override {
        start_with_many();
        const auto asker = loop.datagrams(listen_address("127.2.0.8:1053"),
                                          [this](const net::Address&, std::string_view bytes) {
                                              first = second = bytes;
                                          });
        ASSERT_TRUE(asker) << asker.error();
        (*asker)->send(settings.dns, dns::encode_srv_query(1, "_work._tcp.fleet.local"));
        ASSERT_TRUE(run_until([&] {
            return !first.empty();
        }));
        node.reset();
        second.replace(second.rfind("kind=std"), 8, "kind=big");
    }
    // Processor time for so many answers of a source that asks anew.
    double cpu_seconds(std::size_t answers, bool in_turn) {
        std::size_t said = 0, heard = 0;
        net::Datagrams* answering = nullptr;
        const auto service = loop.datagrams(
            listen_address("127.2.0.9:1053"), [&](const net::Address& from, std::string_view question) {
                std::string answer = in_turn && ++said % 2 == 0 ? second : first;
                answering->send(from, answer.replace(0, 2, question.substr(0, 2)));
            });
        EXPECT_TRUE(service) << service.error();
        answering = service->get();
        discovery::DnsEndpointSource source(loop, "_work._tcp.fleet.local", 5, {},
                                            {[&](const auto&) {
                                                 ++heard;
                                             },
                                             [&](std::uint32_t) {
                                                 return ++heard, true;
                                             },
                                             [](const std::string&) {}});
        EXPECT_TRUE(source.start(listen_address("127.2.0.8:0"), answering->address()));
        const std::clock_t before = std::clock();
        EXPECT_TRUE(run_until(
            [&] {
                return heard >= answers;
            },
            600 * kSecondMicros));
        return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    }
    std::string first, second;
};

TEST_F(RepeatedAnswers, AnAnswerThatTellsNothingNewCostsAFractionOfOneThatMustBeRead) {
    const double changing = cpu_seconds(100, true), same = cpu_seconds(100, false);
    EXPECT_LT(same, changing / 2);
}

}  // namespace
}  // namespace gatetiller::testing
