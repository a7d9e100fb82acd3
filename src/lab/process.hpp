// A child process of the lab: one front or one engine, with its output read for the address that it prints
// first.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::lab {

class Process {
public:
    Process() = default;
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;
    ~Process();  // kills it

    // Starts `command` with its standard error appended to `log`, and returns at once: whoever plays clients
    // meanwhile must not stand still for it.
    static Result<Process> spawn(const std::vector<std::string>& command, const std::string& log);
    // The same, and waits for the first line on its standard output.
    static Result<Process> start(const std::vector<std::string>& command, const std::string& log,
                                 Micros patience);
    const std::string& first_line() const {
        return line_;
    }
    pid_t pid() const {
        return pid_;
    }
    bool running() const {
        return pid_ > 0;
    }
    void signal(
        int number);  // passed over where it has ended: a raw kill(2) of no process would reach them all
    void kill();      // at once, without a word
    void stop();      // holds it still
    void go_on();
    void terminate();            // SIGTERM: it ends by itself
    bool wait(Micros patience);  // until it ended; false if it hasn't
    int status() const {
        return status_;
    }  // as waitpid(2) told it; 0 where it has not ended

private:
    pid_t pid_ = -1;
    int status_ = 0;
    int out_ = -1;
    std::string line_;
};

}  // namespace gatetiller::lab
