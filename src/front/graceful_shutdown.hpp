// Graceful shutdown of a front: accepts no new statements, waits for the active ones up to a timeout, then
// for clients that repeat a lost poll, and then closes the connections. The front listens until the end,
// because clients may poll on new connections.
#pragma once

#include <functional>
#include <string>

#include "net/loop.hpp"

namespace gatetiller::front {

class GracefulShutdown {
public:
    struct Actions {
        std::function<std::size_t()> active_statements;
        std::function<void()> drain_server;  // closes idle connections and stops listening
        std::function<void(const std::string&)> log;
    };

    // `timeout`: maximum wait for active statements, in microseconds. The loop outlives this object.
    GracefulShutdown(net::Loop& loop, Micros timeout, Actions actions);
    ~GracefulShutdown();
    GracefulShutdown(const GracefulShutdown&) = delete;
    GracefulShutdown& operator=(const GracefulShutdown&) = delete;

    // Starts the shutdown; later calls do not restart it. `done`, if not empty, replaces that of an earlier
    // call and is called when the shutdown has finished.
    void begin(std::function<void()> done);
    bool begun() const {
        return begun_;
    }

private:
    void wait_for_statements();
    void finish();

    net::Loop& loop_;
    Micros timeout_;
    Actions actions_;
    bool begun_ = false;
    bool finished_ = false;
    Micros deadline_ = 0;
    std::function<void()> done_;
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::front
