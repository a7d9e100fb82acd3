#include "lab/process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <utility>

extern char** environ;

namespace gatetiller::lab {

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      status_(std::exchange(other.status_, 0)),
      out_(std::exchange(other.out_, -1)),
      line_(std::move(other.line_)) {}

Process& Process::operator=(Process&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(status_, other.status_);
    std::swap(out_, other.out_);
    std::swap(line_, other.line_);
    return *this;
}

Process::~Process() {
    kill();
    if (out_ >= 0)
        ::close(out_);
}

Result<Process> Process::spawn(const std::vector<std::string>& command, const std::string& log) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
        return Error{std::string("pipe: ") + std::strerror(errno)};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    // The lab blocks signals that its loop reads; its children must not inherit that.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::vector<char*> argv;
    for (const auto& part : command)
        argv.push_back(const_cast<char*>(part.c_str()));
    argv.push_back(nullptr);
    Process p;
    const int failed = ::posix_spawn(&p.pid_, argv[0], &actions, &attributes, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    ::close(ends[1]);
    p.out_ = ends[0];
    if (failed != 0) {
        p.pid_ = -1;
        return Error{command[0] + ": " + std::strerror(failed)};
    }
    return p;
}

Result<Process> Process::start(const std::vector<std::string>& command, const std::string& log,
                               Micros patience) {
    auto spawned = spawn(command, log);
    if (!spawned)
        return spawned;
    Process& p = *spawned;
    for (char c = 0;;) {
        pollfd ready{p.out_, POLLIN, 0};
        if (::poll(&ready, 1, static_cast<int>(patience / kMillisecond)) <= 0)
            return Error{command[0] + " said nothing in time; see " + log};
        const ssize_t n = ::read(p.out_, &c, 1);
        if (n <= 0)
            return Error{command[0] + " ended at its start; see " + log};
        if (c == '\n')
            break;
        p.line_ += c;
    }
    return spawned;
}

void Process::signal(int number) {
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Process::kill() {
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

void Process::stop() {
    signal(SIGSTOP);
}

void Process::go_on() {
    signal(SIGCONT);
}

void Process::terminate() {
    signal(SIGTERM);
}

bool Process::wait(Micros patience) {
    if (pid_ <= 0)
        return true;
    constexpr Micros kNap = 10 * kMillisecond;
    for (Micros waited = 0;; waited += kNap) {
        if (::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
            return true;
        }
        if (waited >= patience)
            return false;
        const timespec nap{0, kNap * 1000};
        ::nanosleep(&nap, nullptr);
    }
}

}  // namespace gatetiller::lab
