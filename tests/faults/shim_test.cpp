// The fault shim bites: each call that it stands before fails as told, as often as told, and works otherwise.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>

#include "shim/fault_control.hpp"

namespace gatetiller::testing {
namespace {

class Shim : public ::testing::Test {
protected:
    ~Shim() override {
        control.heal();
        control.wall_offset_us = 0;
    }
    FaultControl& control = *gatetiller_fault_control();
};

TEST_F(Shim, EachCallFailsAsOftenAsToldAndThenWorksAgain) {
    const std::string path = ::testing::TempDir() + "shim-" + std::to_string(::getpid());
    int ends[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT, 0600);
    ASSERT_GE(file, 0);
    char byte = 'x';
    const std::pair<Call, std::function<long()>> calls[] = {
        {Call::accept,
         [&] {
             return ::accept4(ends[0], nullptr, nullptr, 0);
         }},
        {Call::socket,
         [] {
             return ::close(::socket(AF_INET, SOCK_STREAM, 0));
         }},
        {Call::connect,
         [&] {
             return ::connect(ends[0], nullptr, 0);
         }},
        {Call::bind,
         [&] {
             return ::bind(ends[0], nullptr, 0);
         }},
        {Call::listen,
         [&] {
             return ::listen(ends[0], 1);
         }},
        {Call::send,
         [&] {
             return ::send(ends[0], &byte, 1, MSG_NOSIGNAL);
         }},
        {Call::recv,
         [&] {
             return ::recv(ends[1], &byte, 1, 0);
         }},
        {Call::sendto,
         [&] {
             return ::sendto(ends[0], &byte, 1, MSG_NOSIGNAL, nullptr, 0);
         }},
        {Call::recvfrom,
         [&] {
             return ::recvfrom(ends[1], &byte, 1, 0, nullptr, nullptr);
         }},
        {Call::poll,
         [] {
             return ::poll(nullptr, 0, 0);
         }},
        {Call::signalfd,
         [] {
             sigset_t none;
             sigemptyset(&none);
             return ::close(::signalfd(-1, &none, SFD_CLOEXEC));
         }},
        {Call::open,
         [&] {
             return ::close(::open(path.c_str(), O_RDONLY));
         }},
        {Call::write,
         [&] {
             return ::write(file, &byte, 1);
         }},
        {Call::fsync,
         [&] {
             return ::fsync(file);
         }},
        {Call::rename,
         [&] {
             return ::rename(path.c_str(), path.c_str());
         }},
    };
    ASSERT_EQ(std::size(calls), kCalls);
    for (const auto& [call, make] : calls) {
        const char* const name = kCallNames[static_cast<std::size_t>(call)];
        const auto failed = control.of(call).failed.load();
        control.fail(call, ENOBUFS, 1000, 2);
        for (int i = 0; i < 2; ++i)
            (void)make();
        EXPECT_EQ(control.of(call).failed, failed + 2) << name;
        errno = 0;
        (void)make();
        EXPECT_NE(errno, ENOBUFS) << name;
        EXPECT_EQ(control.of(call).failed, failed + 2) << name;
        control.heal();
    }
    ::close(ends[0]), ::close(ends[1]), ::close(file);
    ::unlink(path.c_str());
}

TEST_F(Shim, TheErrorIsTheOneTold) {
    for (const int error : {EMFILE, ENFILE, ENOMEM, EINTR}) {
        control.fail(Call::socket, error, 1000, 1);
        EXPECT_EQ(::socket(AF_INET, SOCK_STREAM, 0), -1);
        EXPECT_EQ(errno, error);
    }
}

TEST_F(Shim, TransfersAreShortened) {
    int ends[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    control.short_per_mille = 1000;
    const std::string bytes(100, 'x');
    const ssize_t sent = ::send(ends[0], bytes.data(), bytes.size(), 0);
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, 10);
    char piece[100];
    EXPECT_LE(::recv(ends[1], piece, sizeof piece, 0), sent);
    ::close(ends[0]), ::close(ends[1]);
}

TEST_F(Shim, TheWallClockStepsBothWaysWhileTheMonotonicOneRunsOn) {
    const auto monotonic = std::chrono::steady_clock::now();
    const auto wall = std::chrono::system_clock::now();
    for (const int seconds : {3600, -3600}) {
        control.wall_offset_us = seconds * std::int64_t{1'000'000};
        const auto stepped = std::chrono::system_clock::now() - wall;
        EXPECT_NEAR(std::chrono::duration<double>(stepped).count(), seconds, 60);
        EXPECT_NEAR(static_cast<double>(::time(nullptr) - std::chrono::system_clock::to_time_t(wall)),
                    seconds, 60);
        EXPECT_LT(std::chrono::steady_clock::now() - monotonic, std::chrono::seconds(60));
    }
}

TEST_F(Shim, AProcessToldToDieInAWriteLeavesHalfOfIt) {
    const std::string path = ::testing::TempDir() + "torn-" + std::to_string(::getpid());
    const pid_t child = ::fork();
    if (child == 0) {
        const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        control.die_in_write = 1;
        (void)!::write(file, "whole line\n", 11);
        ::_exit(0);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
    std::ifstream in(path);
    EXPECT_EQ(std::string(std::istreambuf_iterator<char>(in), {}), "whole");
    ::unlink(path.c_str());
}

}  // namespace
}  // namespace gatetiller::testing
