// Moves requests through their life: queued, dispatched, and given up or finished. All actions that dispatch,
// shed or fail a request are made here, so that they keep the seven rules (docs/architecture.md).
#pragma once

#include "policy/actions.hpp"
#include "policy/policy_state.hpp"

namespace gatetiller::policy {

class RequestLifecycle {
public:
    // `state` outlives it.
    explicit RequestLifecycle(PolicyState& state) : state_(&state) {}

    // Decides what an unfinished request without an open attempt waits for: its key's turn, a slot, or its
    // end.
    void proceed(int slot);
    // Dispatches queued requests until no endpoint has room for the next ones.
    void dispatch_queued();
    // Ends a request whose client has its final response or is gone: takes it out of the queue and cancels
    // its open attempts, where they can be cancelled and its response has not started.
    void finish(int slot);
    // Once a tick: gives up what has no time left, moves what became late, and updates priorities.
    void expire();
    // Once a tick: defers queued requests while more is held than can be served in time.
    void defer_overload();

private:
    bool may_attempt(const ActiveRequest& request) const;
    QueueInput queue_input(const ActiveRequest& request) const;
    void requeue(int slot);
    bool try_dispatch(int slot);
    void dispatch(int slot, int endpoint);
    void grant_resources(ActiveRequest& request, double memory_mb);
    void give_up(int slot, TerminationReason reason);
    void cancel_open_attempts(int slot);
    void expire_waiting(int slot);
    void expire_running(int slot);

    PolicyState* state_;
};

}  // namespace gatetiller::policy
