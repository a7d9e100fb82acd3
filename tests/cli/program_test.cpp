// The program as an operator meets it: exit codes, where text goes, signals, reload.
#include <gtest/gtest.h>
#include <poll.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "lab/process.hpp"

namespace gatetiller {
namespace {

constexpr Micros kPatience = 30 * kSecondMicros;
const std::string kProgram = GATETILLER_PROGRAM;

struct Ran {
    int code = -1;
    std::string out;
};
Ran run(const std::string& arguments, bool errors_too = false) {
    Ran r;
    FILE* pipe = popen((kProgram + " " + arguments + (errors_too ? " 2>&1" : " 2>/dev/null")).c_str(), "r");
    char piece[4096];
    while (std::size_t n = fread(piece, 1, sizeof piece, pipe))
        r.out.append(piece, n);
    r.code = WEXITSTATUS(pclose(pipe));
    return r;
}

class ProgramTest : public ::testing::Test {
protected:
    // Of this run alone: an earlier one may have had the same process id.
    ProgramTest() {
        std::string name = ::testing::TempDir() + "program-XXXXXX";
        if (::mkdtemp(name.data()))
            folder_ = name + "/";
    }
    ~ProgramTest() override {
        std::filesystem::remove_all(folder_);
    }
    std::string file(const std::string& name) const {
        return folder_ + name;
    }
    template <typename Condition>
    static bool await(Condition condition) {
        for (Micros waited = 0; !condition(); waited += kMillisecond) {
            if (waited >= kPatience)
                return false;
            ::poll(nullptr, 0, 1);
        }
        return true;
    }
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(file(name)) << text;
    }
    lab::Process start(const std::string& what, const std::string& name) {
        auto p =
            lab::Process::start({kProgram, what, "--config", file(name)}, file(name) + ".log", kPatience);
        EXPECT_TRUE(p) << p.error();
        return p ? std::move(*p) : lab::Process{};
    }
    std::string front(const std::string& engine, const std::string& route) const {
        return "local g = import 'gatetiller.libsonnet'; g.front('f') { classes: { short: g.class('1s', "
               "'9s') }, kinds: { std: g.kind(8, '16GiB') }, engines: { e: g.engine('" +
               engine.substr(7) + "') }, routes: [" + route +
               "], roster: { watch_every: '20ms' }, rules+: { warm_up: '10ms' }, ledger: { file: '" +
               file("ledger") + "' } }";
    }
    std::string folder_;
};

TEST_F(ProgramTest, SaysWhatIsWrongWithAnExitCode) {
    EXPECT_EQ(run("").code, 2);
    EXPECT_EQ(run("serve").code, 2);
    EXPECT_EQ(run("serve --config /nowhere --check").code, 1);
    EXPECT_EQ(run("query --server nonsense 'SELECT 1'").code, 2);
    EXPECT_EQ(run("query --server http://127.0.0.1:1 'SELECT 1'").code, 1);
    EXPECT_EQ(run("check /dev/null").code, 1);
    for (const char* command : {"", "demo", "serve", "engine", "query", "config", "config diff", "lab",
                                "lab day", "lab cost", "check"}) {
        const auto help = run(std::string(command) + " --help");
        EXPECT_EQ(help.code, 0) << command;
        EXPECT_FALSE(help.out.empty());
    }
    write("day.jsonnet",
          "{ length: '1s', front: {}, engines: {}, traffic: { rate: 1, classes: {} }, troubles: [{ name: "
          "'hangs', at: '1s' }] }");
    EXPECT_NE(run("lab day " + file("day.jsonnet"), true).out.find("did you mean 'hang'?"),
              std::string::npos);
}

TEST_F(ProgramTest, ShowsAndComparesConfigurations) {
    write("a.jsonnet", front("http://127.0.0.1:1", "g.route('short')"));
    write("b.jsonnet", front("http://127.0.0.1:2", "g.route('short')"));
    const auto patch = run("config diff " + file("a.jsonnet") + " " + file("b.jsonnet"));
    EXPECT_EQ(patch.code, 0);
    EXPECT_NE(patch.out.find("/engines/e/address"), std::string::npos);
    EXPECT_EQ(patch.out.find("/classes"), std::string::npos);
    EXPECT_NE(run("config show " + file("a.jsonnet")).out.find("\"drain_grace\": \"2s\""), std::string::npos);
    EXPECT_EQ(run("config check " + file("a.jsonnet")).code, 0);
    EXPECT_EQ(run("config check /nowhere").code, 1);
}

TEST_F(ProgramTest, ServesReloadsAndDrainsBySignals) {
    write("engine.jsonnet", "{ name: 'e' }");
    auto engine = start("engine", "engine.jsonnet");
    write("front.jsonnet", front(engine.first_line(), "g.route('short', { user: 'ann' })"));
    auto served = start("serve", "front.jsonnet");
    const std::string server = served.first_line();
    const auto ask = [&](const std::string& more) {
        return run("query --server " + server + " " + more + " 'SELECT 1 /* gt: work_ms=1 rows=2 */'");
    };
    const auto rows = ask("--user ann --format csv");
    EXPECT_EQ(rows.code, 0);
    EXPECT_EQ(std::count(rows.out.begin(), rows.out.end(), '\n'), 3);
    EXPECT_EQ(ask("--user bob").code, 1);  // no route
    write("front.jsonnet", "{ broken");
    served.signal(SIGHUP);
    EXPECT_EQ(ask("--user ann").code, 0);  // the old settings stay
    write("front.jsonnet", front(engine.first_line(), "g.route('short')"));
    served.signal(SIGHUP);
    bool reloaded = false;
    for (int i = 0; i < 100 && !reloaded; ++i)
        reloaded = ask("--user bob --format json").code == 0;
    EXPECT_TRUE(reloaded);
    served.terminate();
    EXPECT_TRUE(served.wait(kPatience));
    std::ifstream log(file("front.jsonnet") + ".log");
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    for (const char* part :
         {"served user=ann", "reload refused", "reloaded engines", "drained: 0 statements unfinished"})
        EXPECT_NE(text.find(part), std::string::npos) << part << " in " << text;
}

// A ledger with its own thread: SIGTERM still reaches the loop, and only a killed life leaves a mark.
TEST_F(ProgramTest, ALedgerTellsAnOrderlyEndFromAKilling) {
    write("engine.jsonnet", "{ machine: { cores: 4 } }");
    auto engine = start("engine", "engine.jsonnet");
    write("front.jsonnet", front(engine.first_line(), "g.route('short')"));
    const auto log = [&] {
        std::ifstream in(file("front.jsonnet") + ".log");
        return std::string((std::istreambuf_iterator<char>(in)), {});
    };
    const auto served_once = [&](lab::Process& front) {
        return run("query --server " + front.first_line() + " 'SELECT 1 /* gt: work_ms=1 rows=2 */'").code ==
               0;
    };
    for (int i = 0; i < 2; ++i) {
        auto served = start("serve", "front.jsonnet");
        EXPECT_TRUE(served_once(served));
        served.terminate();
        ASSERT_TRUE(served.wait(kPatience));
    }
    EXPECT_EQ(log().find("not shut down cleanly"), std::string::npos) << log();
    {
        auto served = start("serve", "front.jsonnet");
        EXPECT_TRUE(served_once(served));
        // The writer runs behind: killed before it has noted its own beginning, there is nothing to tell.
        ASSERT_TRUE(await([&] {
            std::error_code none;
            const auto size = std::filesystem::file_size(file("ledger-wal"), none);
            return !none && size > 5 * 4096;  // with what was served after the beginning
        }));
        served.kill();
    }
    auto served = start("serve", "front.jsonnet");
    EXPECT_TRUE(served_once(served));
    EXPECT_TRUE(await([&] {
        return log().find("not shut down cleanly") != std::string::npos;
    })) << log();
    served.terminate();
    ASSERT_TRUE(served.wait(kPatience));
}

}  // namespace
}  // namespace gatetiller
