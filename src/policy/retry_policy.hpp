// Whether a request may get another attempt, and how it may end (rules 1, 2, 6 and 7).
//
// A request has at most one open attempt. After an attempt that may have executed, a non-idempotent request
// gets no other, and a keyed one only where and while endpoints drop the repeat. Later attempts of all
// requests are limited by a budget. Times are microseconds.
#pragma once

#include <deque>

#include "base/time.hpp"
#include "policy/active_request.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"

namespace gatetiller::policy {

// The budget of later attempts: a base and a share of the requests that arrived within its window.
class RetryBudget {
public:
    void count_request(Micros now) {
        requests_.push_back(now);
    }
    void count_retry(Micros now) {
        retries_.push_back(now);
    }
    // Drops what left the window that ends now.
    void expire(Micros window_start);
    // Whether one more later attempt keeps to the budget; true where the settings have none.
    bool allows_retry(const PolicySettings& settings) const;

private:
    std::deque<Micros> requests_;  // arrivals
    std::deque<Micros> retries_;   // dispatches of later attempts
};

struct AttemptInput {
    const PolicySettings& settings;
    const RetryBudget& budget;
    const ActiveRequest& request;
    Micros now = 0;
};

enum class AttemptVerdict {
    allowed,
    request_over,  // finished, or its response has started
    deadline_passed,
    attempts_used,
    attempt_open,
    may_have_executed,  // and must not twice
    key_window_over,    // may have executed, and endpoints no longer drop the repeat
    budget_used
};

// Whether the request may get an attempt, its first or a later one, wherever it goes.
AttemptVerdict judge_attempt(const AttemptInput& input);

// Whether an endpoint lies within the scope in which a keyed request's repeat is dropped. `first` is the
// endpoint of the first attempt that may have executed.
bool in_key_scope(KeyScope scope, const Endpoint& first, const Endpoint& candidate);

// Whether the request may end as shed, which tells the client that a repeat does no harm; otherwise it fails.
bool may_shed(const ClassSettings& class_settings, const ActiveRequest& request);

// Whether cancelling the request's open attempt frees its work and leaves it another attempt.
bool may_move(const PolicySettings& settings, const ActiveRequest& request);

}  // namespace gatetiller::policy
