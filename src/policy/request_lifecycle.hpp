// Moves requests through their states: queued, dispatched, terminated or finished. All actions that dispatch,
// shed or fail a request are created here, so that they comply with the seven rules (docs/architecture.md).
#pragma once

#include "policy/actions.hpp"
#include "policy/policy_state.hpp"

namespace gatetiller::policy {

class RequestLifecycle {
public:
    // `state` must outlive this object.
    explicit RequestLifecycle(PolicyState& state) : state_(&state) {}

    // Advances an unfinished request without an open attempt: queues it for a slot, leaves it waiting in the
    // queue of its ordering key, or terminates it.
    void advance(int slot);
    // Dispatches queued requests until no endpoint has capacity for the next ones.
    void dispatch_queued();
    // Finishes a request whose client has its final response or has disconnected. Removes it from the queue
    // and, if endpoints can cancel and its response has not started, cancels its open attempts.
    void finish(int slot);
    // Terminates requests that cannot finish in time, requeues those that became late, and updates
    // priorities. To be called on each timer tick.
    void expire();
    // Defers queued requests while more work is queued than can be served in time. To be called on each timer
    // tick.
    void defer_overload();

private:
    bool may_attempt(const ActiveRequest& request) const;
    QueueInput queue_input(const ActiveRequest& request) const;
    void requeue(int slot);
    bool try_dispatch(int slot);
    void dispatch(int slot, int endpoint);
    void grant_resources(ActiveRequest& request, double memory_mb);
    void terminate(int slot, TerminationReason reason);
    void cancel_open_attempts(int slot);
    void expire_waiting(int slot);
    void expire_running(int slot);

    PolicyState* state_;
};

}  // namespace gatetiller::policy
