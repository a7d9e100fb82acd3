// A front node whose own machine lacks something for a moment: its engines are not to blame, its start waits.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/process.hpp"
#include "node/rig.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::testing {
namespace {

class NodeFaults : public SocketNodeTest {
protected:
    ~NodeFaults() override {
        control.heal();
        control.wall_offset_us = 0;
    }
    FaultControl& control = *gatetiller_fault_control();
};

TEST_F(NodeFaults, AFailureOfThisMachineIsNotChargedToTheEngine) {
    for (const auto& [call, error] : {std::pair{Call::socket, EMFILE},
                                      {Call::connect, EADDRNOTAVAIL},
                                      {Call::connect, ENETUNREACH},
                                      {Call::socket, ENOBUFS}}) {
        node.reset(), clients.clear(), engines.clear(), settings.known_endpoints.clear();
        name_service.close("n0");
        settings.listen = listen_address("");
        add_engine("s-" + std::to_string(error));
        start();
        auto& c = add_client();
        ASSERT_TRUE(run_until([&] {
            c.probe();
            return c.ready();
        }));
        control.fail(call, error);
        c.ask(make_request());
        const Micros since = loop.now();
        ASSERT_TRUE(run_until([&] {
            return loop.now() - since > 120 * kMillisecond;
        }));
        control.heal();
        ASSERT_TRUE(run_until([&] {
            return c.open() == 0;
        }));
        EXPECT_EQ(c.got().begin()->second.how, "served") << std::strerror(error);
        EXPECT_NE(node->status().find("no_connection=0"), std::string::npos)
            << std::strerror(error) << ": " << node->status();
    }
    expect_no_violations();
}

// What waited unread because this machine lacked memory or descriptors has less of its time left.
TEST_F(NodeFaults, TimeUnreadForWantOfSomethingHereIsTakenOffTheDeadline) {
    for (const auto& [call, error] :
         {std::pair{Call::recv, ENOMEM}, {Call::accept, EMFILE}, {Call::accept, ENOBUFS}}) {
        node.reset(), clients.clear(), engines.clear(), settings.known_endpoints.clear();
        name_service.close("n0");
        settings.listen = listen_address("");
        add_engine("s-" + std::to_string(static_cast<int>(call)) + std::to_string(error));
        start();
        auto& before = add_client();
        before.probe();
        ASSERT_TRUE(run_until([&] {
            return before.ready();
        }));
        control.fail(call, error);
        auto& c = call == Call::accept ? add_client() : before;
        const auto a = make_request("lookup", 300);
        c.ask(a);
        const Micros asked = loop.now();
        ASSERT_TRUE(run_until([&] {
            return loop.now() - asked > 700 * kMillisecond;
        }));
        control.heal();
        ASSERT_TRUE(run_until([&] {
            return c.open() == 0;
        }));
        const Micros deadline = asked + a.patience;
        const auto noted = log.rfind(a.trace + " lookup accepted");
        ASSERT_NE(noted, std::string::npos) << log;
        const auto left_at = log.find("left_ms=", noted);
        EXPECT_LE(std::stoll(log.substr(left_at + 8)), (deadline - asked) / kMillisecond - 500)
            << log.substr(noted, 120);
    }
}

// Its client goes while it goes out, and the settings let nothing be called off: it would begin for nobody.
TEST_F(NodeFaults, ARequestGivenUpInTheMiddleOfItsSendingNeverBegins) {
    settings.policy.can_cancel = false;
    add_engine("s-1");
    start();
    auto& c = add_client();
    auto a = make_request();
    a.sql += std::string(20'000, 'x');
    const auto seq = c.ask(a);
    ASSERT_TRUE(run_until([&] {
        return log.find(a.trace + " lookup accepted") != std::string::npos;
    }));
    control.short_per_mille = 1000;
    control.fail(Call::send, EAGAIN, 900);
    ASSERT_TRUE(run_until([&] {
        return control.shortened > 10;
    }));
    c.give_up(seq);
    ASSERT_TRUE(run_until([&] {
        return log.find(a.trace + " lookup cancelled") != std::string::npos;
    }));
    control.heal();
    auto& after = add_client();
    after.ask(make_request());
    ASSERT_TRUE(run_until([&] {
        return after.open() == 0;
    }));
    EXPECT_EQ(after.got().at(1).how, "served");
    for (const auto& r : records.engines)
        EXPECT_FALSE(r.entry.event == "arrived" && r.entry.trace == a.trace)
            << "began for a client that had gone";
    ASSERT_TRUE(run_until([&] {
        return node->active_requests() == 0;
    }));
}

// What was written when it began is no longer true when its last byte goes out much later: it goes again,
// with what is left.
TEST_F(NodeFaults, ARequestWrittenInPartForLongIsWrittenAnew) {
    add_engine("s-1");
    start();
    auto& c = add_client();
    auto a = make_request("lookup", 300);
    a.sql += std::string(20'000, 'x');
    c.ask(a);
    ASSERT_TRUE(run_until([&] {
        return log.find(a.trace + " lookup accepted") != std::string::npos;
    }));
    control.short_per_mille = 1000;
    control.fail(Call::send, ENOBUFS, 900);
    ASSERT_TRUE(run_until([&] {
        return control.shortened > 10;
    }));
    const Micros begun = loop.now();
    ASSERT_TRUE(run_until([&] {
        return loop.now() - begun > 300 * kMillisecond;
    }));
    control.heal();
    ASSERT_TRUE(run_until([&] {
        return c.open() == 0;
    }));
    EXPECT_EQ(c.got().begin()->second.how, "served");
    // Cut off while it was still being written, not called off later.
    const auto cut = log.find(a.trace + " lookup attempt 0 at s-1 skipped");
    ASSERT_NE(cut, std::string::npos) << "with the deadline of its first byte:\n" << log;
    const Micros after = std::stoll(log.substr(log.find("ms=", cut) + 3)) * kMillisecond;
    EXPECT_LE(after, 250 * kMillisecond) << log.substr(cut, 120);
    expect_no_violations();
}

// An hour either way between two lists: the engine listed in between is new all the same.
TEST_F(NodeFaults, AStepOfTheWallClockMakesNoNewEngineWarm) {
    add_engine("s-1");
    start();
    for (const int hours : {1, -1}) {
        const Micros right = loop.wall() - control.wall_offset_us;
        control.wall_offset_us = hours * 3600 * kSecondMicros;
        const std::string name = "s-young-" + std::to_string(hours + 1);
        name_service.put({name,
                          "z",
                          "std",
                          {{"n0", *net::Address::parse("127.0.0.1:1")}},
                          false,
                          0,
                          right / kMillisecond});
        ASSERT_TRUE(run_until(
            [&] {
                return log.find("engine " + name) != std::string::npos;
            },
            5 * kSecondMicros))
            << log;
        const auto line = log.substr(log.find("engine " + name));
        const auto up = line.find("up for ");
        ASSERT_NE(up, std::string::npos) << line;
        EXPECT_LT(std::stoll(line.substr(up + 7)), 2'000) << line;
    }
}

// The program under the shim: its start outlasts what fails for a moment.
TEST(NodeStart, OutlastsCallsThatFailForAMoment) {
    std::string folder = ::testing::TempDir() + "node-start-XXXXXX";
    ASSERT_TRUE(::mkdtemp(folder.data()));
    const std::string control_file = folder + "/control", config_file = folder + "/config.json";
    std::ofstream(control_file) << std::string(sizeof(FaultControl), '\0');
    std::filesystem::resize_file(control_file, sizeof(FaultControl));
    const int fd = ::open(control_file.c_str(), O_RDWR | O_CLOEXEC);
    ASSERT_GE(fd, 0);
    auto* const control = static_cast<FaultControl*>(
        ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0));
    ::close(fd);
    ASSERT_NE(static_cast<void*>(control), MAP_FAILED);
    net::PollLoop loop;
    lab::Records records;
    lab::NameService name_service(loop, records, 3);
    name_service.put({"s-1", "z", "std", {{"n0", *net::Address::parse("127.0.0.1:1")}}});
    const auto dns = *name_service.listen("n0", *net::Address::parse("127.0.0.1:0"));
    const nlohmann::json settings = nlohmann::json::parse(
        R"({"classes":[{"name":"lookup","aim_us":1000000,"deadline_us":2000000,"effect":"repeatable","late_share":0.5,"value":1}],
            "tenants":[{"name":"acme","quota_per_s":500,"share":1}],"kinds":["std"],"zone":"z","siblings":1,
            "extra":{"size_cores":[8],"size_mb":[16384],"width_by_class":[1],"class_load":[false]},
            "policy_limits":{"attempts_cap":6,"cancel":true,"connect_timeout_us":250000,"streams_per_conn":100},
            "report":{"fields":["concurrent"],"source":"answers"},
            "rules":{"cold_share":0.31,"drain_grace_us":2000000,"overload_factor":3.0,"overload_for_us":1500000,"warm_up_us":15000000}})");
    std::ofstream(config_file) << nlohmann::json(
                                      {{"name", "n0"},
                                       {"listen", "127.0.0.1:0"},
                                       {"seed", "1"},
                                       {"limits", {{"cores", 0.5}, {"memory_mb", 32}, {"sockets", 256}}},
                                       {"dns", dns.text()},
                                       {"known", nlohmann::json::parse(name_service.known("n0"))},
                                       {"settings", settings}})
                                      .dump();
    const std::pair<Call, int> failing[] = {{Call::socket, EMFILE},     {Call::socket, ENFILE},
                                            {Call::bind, EADDRINUSE},   {Call::bind, EADDRNOTAVAIL},
                                            {Call::listen, EADDRINUSE}, {Call::signalfd, EMFILE},
                                            {Call::signalfd, ENOMEM},   {Call::socket, ENOBUFS}};
    for (const auto& [call, error] : failing) {
        control->fail(call, error, 1000, 4);
        const auto what =
            std::string(kCallNames[static_cast<std::size_t>(call)]) + ": " + std::strerror(error);
        auto started = lab::Process::start(
            {"/bin/sh", "-c",
             "LD_PRELOAD='" GATETILLER_FAULT_SHIM "' ASAN_OPTIONS=verify_asan_link_order=0 " +
                 std::string(kControlVariable) + "='" + control_file +
                 "' exec '" GATETILLER_PROGRAM "' node --config '" + config_file + "'"},
            folder + "/log", 20 * kSecondMicros);
        EXPECT_TRUE(started) << what << ": " << started.error();
        EXPECT_EQ(control->of(call).left, 0u) << what;
        control->heal();
        if (!started)
            continue;
        // A signal that nobody reads would leave it running.
        started->terminate();
        EXPECT_TRUE(started->wait(20 * kSecondMicros)) << what << ": SIGTERM is not heard";
    }
    ::munmap(control, sizeof(FaultControl));
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gatetiller::testing
