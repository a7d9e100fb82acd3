// The graceful shutdown of a front: it accepts nothing new, waits for its statements up to a bound, then for
// polls that were lost, and then closes its connections. It listens until the end, as clients may poll on new
// connections.
#pragma once

#include <functional>
#include <string>

#include "net/loop.hpp"

namespace gatetiller::front {

class GracefulShutdown {
public:
    struct Actions {
        std::function<std::size_t()> active_statements;
        std::function<void()> drain_server;  // close idle connections and stop listening
        std::function<void(const std::string&)> log;
    };

    // `timeout`: upper bound of the wait for statements. The loop outlives this.
    GracefulShutdown(net::Loop& loop, Micros timeout, Actions actions);
    ~GracefulShutdown();
    GracefulShutdown(const GracefulShutdown&) = delete;
    GracefulShutdown& operator=(const GracefulShutdown&) = delete;

    // Begins the shutdown, once. `done`, where it is given, is called at its end; a later one replaces it.
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
