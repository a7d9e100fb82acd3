// Decides whether a request may get another attempt, and how it may end (rules 1, 2, 6 and 7).
//
// A request has at most one open attempt. After an attempt that may have executed, a non-idempotent request
// is not retried, and a keyed one is retried only at endpoints that drop the repeat and only within the key
// window. Retries of all requests are limited by a budget. Times are in microseconds.
#pragma once

#include <deque>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

// Budget of retries: a base number plus a share of the requests that arrived within its window.
class RetryBudget {
public:
    void count_request(Micros now) {
        requests_.push_back(now);
    }
    void count_retry(Micros now) {
        retries_.push_back(now);
    }
    // Removes what was counted before `window_start`.
    void expire(Micros window_start);
    // Returns whether the budget allows one more retry. Always true if the settings have no budget.
    bool allows_retry(const PolicySettings& settings) const;

private:
    std::deque<Micros> requests_;  // arrival times
    std::deque<Micros> retries_;   // dispatch times of retries
};

struct AttemptInput {
    const PolicySettings& settings;
    const RetryBudget& budget;
    const ActiveRequest& request;
    Micros now = 0;
};

enum class AttemptVerdict {
    allowed,
    request_finished,  // finished, or its response has started
    deadline_passed,
    attempts_exhausted,
    attempt_open,
    may_have_executed,   // and must not execute twice
    key_window_expired,  // may have executed, and endpoints no longer drop a repeat
    budget_exhausted
};

// Returns whether the request may get an attempt, first or retry, at any endpoint.
AttemptVerdict check_attempt(const AttemptInput& input);

// Returns whether `candidate` is within the scope in which the repeat of a keyed request is dropped. `first`
// is the endpoint of the first attempt that may have executed.
bool in_key_scope(KeyScope scope, const Endpoint& first, const Endpoint& candidate);

// Returns whether the request may end as shed, which tells the client that a repeat is safe. Otherwise it
// must end as failed.
bool may_shed(const ClassSettings& class_settings, const ActiveRequest& request);

// Returns whether cancelling the open attempt stops its work and leaves the request another attempt.
bool may_cancel_and_retry(const PolicySettings& settings, const ActiveRequest& request);

}  // namespace gatetiller::policy
