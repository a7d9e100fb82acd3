// The program while what surrounds its process fails: a log that nobody reads, signals before readiness, a
// configuration file that is being written.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/await.hpp"
#include "lab/platform.hpp"
#include "lab/process.hpp"

namespace gatetiller {
namespace {

constexpr Micros kPatience = 30 * kSecondMicros;
constexpr int kLogDescriptor = 200;  // of the child's standard error, handed over by number
constexpr int kSmallPipe = 4096;

const char* const kSettings = R"({"classes":[
  {"name":"lookup","aim_us":1000000,"deadline_us":2000000,"effect":"repeatable","late_share":0.5,"value":1}],
  "tenants":[{"name":"acme","quota_per_s":500,"share":1}],"kinds":["std"],"zone":"z","siblings":1,
  "extra":{"size_cores":[8],"size_mb":[16384],"width_by_class":[1],"class_load":[false],"grants":true,"lanes_count":true,"cost_in_answers":true,"note_period_us":100000,"largest_share":0.4,"when_short":"swap"},
  "policy_limits":{"attempts_cap":6,"cancel":true,"connect_timeout_us":250000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,"streams_per_conn":100},
  "report":{"fields":["concurrent","depth"],"source":"answers"},
  "rules":{"cold_share":0.31,"drain_grace_us":2000000,"grace_to_answer_us":20000,"overload_factor":3.0,"overload_for_us":1500000,"warm_up_us":15000000}})";

// A pipe for a child's standard error, of which the test holds the reading end.
class LogPipe {
public:
    LogPipe() {
        int ends[2] = {-1, -1};
        EXPECT_EQ(::pipe2(ends, O_CLOEXEC), 0);
        read_ = ends[0];
        EXPECT_EQ(::dup2(ends[1], kLogDescriptor), kLogDescriptor);  // without O_CLOEXEC: inherited
        ::close(ends[1]);
        ::fcntl(read_, F_SETPIPE_SZ, kSmallPipe);
    }
    ~LogPipe() {
        close_reader();
        close_writer();
    }
    void close_writer() {
        if (std::exchange(writer_open_, false))
            ::close(kLogDescriptor);
    }
    void close_reader() {
        if (read_ >= 0)
            ::close(std::exchange(read_, -1));
    }
    std::string drained() {
        ::fcntl(read_, F_SETFL, O_NONBLOCK);
        std::string text;
        char piece[4096];
        for (ssize_t n = 0; (n = ::read(read_, piece, sizeof piece)) > 0;)
            text.append(piece, static_cast<std::size_t>(n));
        return text;
    }

private:
    int read_ = -1;
    bool writer_open_ = true;
};

class ProcessFaults : public ::testing::Test {
protected:
    ProcessFaults() {
        std::string name = ::testing::TempDir() + "process-faults-XXXXXX";
        if (::mkdtemp(name.data()))
            folder_ = name + "/";
        names_.put({"s-1", "z", "std", {{"n0", nowhere_}, {"n1", nowhere_}}});
    }
    ~ProcessFaults() override {
        std::filesystem::remove_all(folder_);
    }

    std::string file(const std::string& name) const {
        return folder_ + name;
    }
    std::string config(const net::Address& dns) const {
        return nlohmann::json({{"name", "n0"},
                               {"listen", "127.0.0.1:0"},
                               {"seed", "00c0ffee00c0ffee"},
                               {"limits", {{"cores", 0.5}, {"memory_mb", 32}, {"sockets", 256}}},
                               {"dns", dns.text()},
                               {"known", nlohmann::json::parse(names_.known("n0"))},
                               {"settings", nlohmann::json::parse(kSettings)}})
            .dump();
    }
    void write(const std::string& text) const {
        std::ofstream(file("config.json")) << text;
    }
    std::string node_command(const std::string& redirect) const {
        return "exec '" + std::string(GATETILLER_PROGRAM) + "' node --config '" + file("config.json") + "' " +
               redirect;
    }
    void start_node(const std::string& redirect) {
        auto started = lab::Process::start({"/bin/sh", "-c", node_command(redirect)}, file("log"), kPatience);
        ASSERT_TRUE(started) << started.error();
        process_ = std::move(*started);
        address_ = *net::Address::parse(process_.first_line());
    }
    // Whether the node still answers a client's probe.
    bool answers() {
        lab::PlatformClient client(loop_, "n0", address_, records_);
        client.probe();
        return testing::await(loop_,
                              [&] {
                                  return client.ready() || client.ended();
                              }) &&
               client.ready();
    }
    bool asked(const std::string& service) const {
        return std::any_of(records_.lab.begin(), records_.lab.end(), [&](const auto& r) {
            return r.event == "list_served" && r.who == service;
        });
    }
    bool logged(const std::string& text) const {
        std::ifstream in(file("log"));
        return std::string(std::istreambuf_iterator<char>(in), {}).find(text) != std::string::npos;
    }
    // A request that is turned away with a line in the log (at debug). Whether it was answered.
    bool turned_away(lab::PlatformClient& client) {
        lab::PlatformClient::Ask ask;
        ask.cls = "no such class " + std::string(100, 'x'), ask.tenant = "acme";
        ask.trace = random_.hex(16), ask.sql = "SELECT 1", ask.patience = kSecondMicros;
        const auto answered = client.exceptions();
        client.ask(ask);
        return testing::await(
                   loop_,
                   [&] {
                       return client.open() == 0;
                   },
                   5 * kSecondMicros) &&
               client.exceptions() > answered;
    }
    bool ends() {
        process_.terminate();
        return process_.wait(kPatience);
    }

    std::string folder_;
    net::PollLoop loop_;
    lab::Records records_;
    lab::NameService names_{loop_, records_, 5};
    const net::Address any_ = *net::Address::parse("127.0.0.1:0");
    const net::Address nowhere_ = *net::Address::parse("127.0.0.1:1");
    Random random_{11};
    lab::Process process_;
    net::Address address_;
};

// Each new address of the name service is told in the log: one line for each of them.
TEST_F(ProcessFaults, ANodeServesOnWhenTheReaderOfItsLogHasGone) {
    const auto first = *names_.listen("n0", any_), second = *names_.listen("n1", any_);
    write(config(first));
    LogPipe log;
    ASSERT_NO_FATAL_FAILURE(start_node("2>/proc/self/fd/" + std::to_string(kLogDescriptor)));
    log.close_writer();
    log.close_reader();
    write(config(second));
    process_.signal(SIGHUP);
    // The name service at the new address is asked once the line has been written or dropped.
    ASSERT_TRUE(testing::await(loop_, [&] {
        return asked("n1") || process_.wait(0);
    }));
    EXPECT_TRUE(process_.running()) << "the process has ended at a log line that nobody reads";
    if (process_.running()) {
        EXPECT_TRUE(answers());
        EXPECT_TRUE(ends());
    }
}

TEST_F(ProcessFaults, AFullLogPipeHoldsUpNobodyAndTheLinesLostAreCounted) {
    const auto first = *names_.listen("n0", any_), second = *names_.listen("n1", any_);
    write(config(first));
    LogPipe log;
    ASSERT_NO_FATAL_FAILURE(
        start_node("--log-level debug 2>/proc/self/fd/" + std::to_string(kLogDescriptor)));
    log.close_writer();
    // A line for each request turned away: many times what the pipe takes.
    lab::PlatformClient client(loop_, "n0", address_, records_);
    client.probe();
    ASSERT_TRUE(testing::await(loop_, [&] {
        return client.ready();
    }));
    for (int i = 0; i < 400; ++i)
        ASSERT_TRUE(turned_away(client)) << "no answer to request " << i << ": the log holds up the loop";
    EXPECT_TRUE(answers());
    // Once somebody reads again, the log goes on and says what is missing.
    std::string told = log.drained();
    for (int i = 0; i < 100 && told.find("log lines lost") == std::string::npos; ++i) {
        ASSERT_TRUE(turned_away(client));
        told += log.drained();
    }
    EXPECT_NE(told.find("log lines lost"), std::string::npos) << told;
    EXPECT_TRUE(ends());
}

TEST_F(ProcessFaults, SignalsBeforeReadinessWaitUntilItIsReady) {
    const auto dns = *names_.listen("n0", any_);
    ASSERT_EQ(::mkfifo(file("config.json").c_str(), 0600), 0);
    auto spawned = lab::Process::spawn({"/bin/sh", "-c", node_command("")}, file("log"));
    ASSERT_TRUE(spawned) << spawned.error();
    process_ = std::move(*spawned);
    // The process reads its configuration once the other end of the queue opens.
    int into = -1;
    ASSERT_TRUE(testing::await(loop_, [&] {
        into = ::open(file("config.json").c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return into >= 0;
    }));
    process_.signal(SIGHUP);
    const std::string text = config(dns);
    std::ofstream(file("config.new")) << text;
    std::filesystem::rename(file("config.new"), file("config.json"));  // for the reload
    ASSERT_EQ(::write(into, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(into);
    // The name service hears of the process once it runs.
    ASSERT_TRUE(testing::await(loop_, [&] {
        return asked("n0") || process_.wait(0);
    }));
    ASSERT_TRUE(process_.running()) << "SIGHUP before readiness ended the process";
    EXPECT_TRUE(ends());
}

TEST_F(ProcessFaults, AConfigurationHalfWrittenAtAReloadIsReadAgainWhenItIsWhole) {
    const auto first = *names_.listen("n0", any_), second = *names_.listen("n1", any_);
    write(config(first));
    ASSERT_NO_FATAL_FAILURE(start_node(""));
    ASSERT_TRUE(testing::await(loop_, [&] {
        return asked("n0");
    }));
    const std::string text = config(second);
    write(text.substr(0, text.size() / 2));
    process_.signal(SIGHUP);
    ASSERT_TRUE(testing::await(loop_, [&] {
        return logged("reload refused");
    }));
    write(text);  // no second signal: the writer gave one for the whole of it
    EXPECT_TRUE(testing::await(
        loop_,
        [&] {
            return asked("n1");
        },
        15 * kSecondMicros))
        << "the configuration was never read again";
    EXPECT_TRUE(ends());
}

// A restart that crosses the writing of a new configuration.
TEST_F(ProcessFaults, AConfigurationHalfWrittenAtTheStartIsReadAgainWhenItIsWhole) {
    const auto dns = *names_.listen("n0", any_);
    const std::string text = config(dns);
    write(text.substr(0, text.size() / 2));
    auto spawned = lab::Process::spawn({"/bin/sh", "-c", node_command("")}, file("log"));
    ASSERT_TRUE(spawned) << spawned.error();
    process_ = std::move(*spawned);
    ASSERT_TRUE(testing::await(loop_, [&] {
        return logged("configuration: ") || process_.wait(0);
    }));
    write(text);
    EXPECT_TRUE(testing::await(
        loop_,
        [&] {
            return asked("n0") || process_.wait(0);
        },
        8 * kSecondMicros));
    ASSERT_TRUE(process_.running()) << "the start was refused for a configuration that was being written";
    EXPECT_TRUE(ends());
}

// One that stays wrong is refused within the time that a platform gives a start, with what is wrong.
TEST_F(ProcessFaults, AConfigurationThatStaysHalfWrittenIsRefused) {
    const std::string text = config(*names_.listen("n0", any_));
    write(text.substr(0, text.size() / 2));
    auto spawned = lab::Process::spawn({"/bin/sh", "-c", node_command("")}, file("log"));
    ASSERT_TRUE(spawned) << spawned.error();
    process_ = std::move(*spawned);
    ASSERT_TRUE(process_.wait(10 * kSecondMicros));
    EXPECT_EQ(WEXITSTATUS(process_.status()), 1);
    EXPECT_TRUE(logged("configuration: "));
}

}  // namespace
}  // namespace gatetiller
