// Durable files while the disk is full or broken for a while, and kills in the middle of a write.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "base/await.hpp"
#include "base/durable_file.hpp"
#include "discovery/endpoint_cache.hpp"
#include "front/engine_registry.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::testing {
namespace {

std::string content(const std::string& file) {
    std::ifstream in(file);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

class Durable : public ::testing::Test {
protected:
    Durable() {
        std::string name = ::testing::TempDir() + "durable-XXXXXX";
        if (::mkdtemp(name.data()))
            folder = name;
        file = folder + "/list";
    }
    ~Durable() override {
        control.heal();
        std::filesystem::remove_all(folder);
    }
    std::size_t files() const {
        return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(folder), {}));
    }
    FaultControl& control = *gatetiller_fault_control();
    std::string folder, file;
};

TEST_F(Durable, AFailureAtAnyStepLeavesTheOldContentAndNothingBesideIt) {
    ASSERT_TRUE(replace_file(file, "old"));
    for (const auto& [call, error] : {std::pair{Call::open, EMFILE},
                                      {Call::write, ENOSPC},
                                      {Call::write, EIO},
                                      {Call::fsync, EIO},
                                      {Call::rename, EIO}}) {
        control.fail(call, error, 1000, 1);
        const auto kept = replace_file(file, "new");
        EXPECT_FALSE(kept) << kCallNames[static_cast<std::size_t>(call)];
        EXPECT_EQ(kept.failure().code, error);
        EXPECT_EQ(content(file), "old");
        EXPECT_EQ(files(), 1u);
        control.heal();
    }
    control.short_per_mille = 1000;
    ASSERT_TRUE(replace_file(file, "new and longer than a short write"));
    EXPECT_EQ(content(file), "new and longer than a short write");
}

TEST_F(Durable, AKillInTheMiddleOfTheWriteLeavesTheOldContent) {
    ASSERT_TRUE(replace_file(file, "old"));
    const pid_t child = ::fork();
    if (child == 0) {
        control.die_in_write = 1;
        (void)replace_file(file, "new content");
        ::_exit(0);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFSIGNALED(status));
    EXPECT_EQ(content(file), "old");
    ASSERT_TRUE(replace_file(file, "newer"));
    EXPECT_EQ(content(file), "newer");
}

// A list that could not be kept is kept once the disk is well again, though no new list comes.
TEST_F(Durable, TheLastListIsKeptOnceTheDiskIsWellAgain) {
    const std::string source = folder + "/source";
    std::ofstream(source) << R"({"engines": {"a": {"address": "127.0.0.1:1", "state": "on"}}})";
    config::FrontSettings settings;
    settings.roster.file = source, settings.roster.every = 5 * kMillisecond, settings.roster.keep = file;
    net::PollLoop loop;
    std::string log;
    int lists = 0;
    front::EngineRegistry engines(loop, settings,
                                  {[&](EndpointUpdate c) {
                                       lists += c.kind == EndpointUpdateKind::full;
                                   },
                                   [&](const std::string& text) {
                                       log += text + "\n";
                                   }});
    control.fail(Call::write, ENOSPC);
    engines.start();
    ASSERT_TRUE(await(loop, [&] {
        return lists > 0;
    }));
    EXPECT_FALSE(discovery::load_cached_endpoints(file));
    EXPECT_NE(log.find("No space left"), std::string::npos) << log;
    control.heal();
    EXPECT_TRUE(await(loop, [&] {
        return discovery::load_cached_endpoints(file).ok();
    }));
}

}  // namespace
}  // namespace gatetiller::testing
