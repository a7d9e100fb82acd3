// The phases of a node's planned restart, by the times of decide::ShutdownSchedule: it serves on while
// clients still come, then rejects new requests and closes idle connections, then gives what is left a final
// response, and ends.
#pragma once

#include <functional>

#include "decide/graceful_shutdown.hpp"
#include "net/loop.hpp"
#include "node/client_sessions.hpp"

namespace gatetiller::node {

class GracefulShutdown {
public:
    struct Events {
        // Whether any request is active.
        std::function<bool()> has_requests;
        // It is time for final responses to all active requests; may come repeatedly.
        std::function<void()> on_final_responses_due;
        // Nothing is left, or the time is up.
        std::function<void()> on_done;
    };

    // The loop and the clients outlive it.
    GracefulShutdown(net::Loop& loop, const PolicySettings& settings, ClientSessions& clients, Events events);
    ~GracefulShutdown();
    GracefulShutdown(const GracefulShutdown&) = delete;
    GracefulShutdown& operator=(const GracefulShutdown&) = delete;

    bool has_begun() const {
        return began_at_ > 0;
    }
    // To be called once.
    void begin();
    // Since begin(), in microseconds; 0 before it.
    Micros draining_for() const;
    const decide::ShutdownSchedule& schedule() const {
        return schedule_;
    }

private:
    void advance();

    net::Loop& loop_;
    ClientSessions& clients_;
    Events events_;
    decide::ShutdownSchedule schedule_;
    Micros began_at_ = 0;  // 0: not begun
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::node
