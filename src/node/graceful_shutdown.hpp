// The phases of a node's planned restart, at the times of decide::ShutdownSchedule: the node first continues
// to serve while clients still arrive, then rejects new requests and closes idle connections, then sends the
// remaining requests their final responses, and ends.
#pragma once

#include <functional>

#include "decide/graceful_shutdown.hpp"
#include "net/loop.hpp"
#include "node/client_sessions.hpp"

namespace gatetiller::node {

class GracefulShutdown {
public:
    struct Events {
        // Returns whether any request is active.
        std::function<bool()> has_requests;
        // Final responses to all active requests are due; may be called repeatedly.
        std::function<void()> on_final_responses_due;
        // No request or connection remains, or the shutdown's time is over.
        std::function<void()> on_done;
    };

    // The loop and the clients must outlive the shutdown.
    GracefulShutdown(net::Loop& loop, const PolicySettings& settings, ClientSessions& clients, Events events);
    ~GracefulShutdown();
    GracefulShutdown(const GracefulShutdown&) = delete;
    GracefulShutdown& operator=(const GracefulShutdown&) = delete;

    bool has_begun() const {
        return began_at_ > 0;
    }
    // To be called once.
    void begin();
    // Returns the time since begin(), in microseconds; 0 before it.
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
