// What every sub-command needs of the process: logs, entropy, a seed, and what surrounds a service's loop.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.hpp"
#include "cli/log_output.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::cli {

// For main, before anything else: a reader of ours that goes away must not end the process, and signals to
// end or to reload wait for the loop that handles them.
void prepare_process();
// For sub-commands that serve nobody: SIGTERM, SIGINT and SIGHUP act as usual again.
void restore_default_signals();

struct Log {
    std::shared_ptr<LogOutput> output;
    std::shared_ptr<spdlog::logger> logger;
};
// A logger to stderr that never waits for its reader. format: text or json; level: trace to error.
Log make_logger(const std::string& format, const std::string& level);
// A line on stdout, such as the address that a service listens on.
void say_line(const std::string& line);

std::string entropy();        // 32 hex digits from the kernel
std::uint64_t random_seed();  // from the kernel
// Raises this process's limit of open files as far as it may; what it then is.
std::size_t raise_open_files();

constexpr Micros kStartPatience = 20 * kSecondMicros;  // a platform waits for 30 s

// Calls `start` until it succeeds or fails for a reason that doesn't pass, for `patience` at most. The loop
// turns meanwhile; an error where it was stopped.
template <typename T>
Result<T> start_through_failures(net::PollLoop& loop, spdlog::logger& log,
                                 const std::function<Result<T>()>& start, Micros patience = kStartPatience);

// ---- Implementation

class StartRetry {
public:
    StartRetry(net::PollLoop& loop, spdlog::logger& log, Micros patience);
    // Whether it is worth another try, after having waited for it.
    bool wait(const Error& error);

private:
    net::PollLoop& loop_;
    spdlog::logger& log_;
    Micros until_;
    bool told_ = false;
};

template <typename T>
Result<T> start_through_failures(net::PollLoop& loop, spdlog::logger& log,
                                 const std::function<Result<T>()>& start, Micros patience) {
    StartRetry retry(loop, log, patience);
    for (;;) {
        auto started = start();
        if (started || !retry.wait(started.failure()))
            return started;
    }
}

}  // namespace gatetiller::cli
