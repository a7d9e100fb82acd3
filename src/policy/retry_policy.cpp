#include "policy/retry_policy.hpp"

namespace gatetiller::policy {

void RetryBudget::expire(Micros window_start) {
    while (!requests_.empty() && requests_.front() <= window_start)
        requests_.pop_front();
    while (!retries_.empty() && retries_.front() < window_start)
        retries_.pop_front();
}

bool RetryBudget::allows_retry(const PolicySettings& settings) const {
    if (!settings.retry_budget_base || !settings.retry_budget_ratio)
        return true;
    const double allowed =
        *settings.retry_budget_base + *settings.retry_budget_ratio * static_cast<double>(requests_.size());
    return static_cast<double>(retries_.size() + 1) <= allowed;
}

AttemptVerdict check_attempt(const AttemptInput& input) {
    const ActiveRequest& request = input.request;
    if (request.finished || request.response_started)
        return AttemptVerdict::request_finished;
    if (input.now >= request.deadline_at)
        return AttemptVerdict::deadline_passed;
    if (static_cast<int>(request.attempts.size()) >= input.settings.max_attempts)
        return AttemptVerdict::attempts_exhausted;
    if (request.has_open_attempt())
        return AttemptVerdict::attempt_open;
    if (request.first_executed_endpoint >= 0) {
        const ClassSettings& class_settings = input.settings.classes[request.class_index];
        if (class_settings.idempotency == Idempotency::non_idempotent)
            return AttemptVerdict::may_have_executed;
        if (class_settings.idempotency == Idempotency::keyed &&
            input.now >= request.first_executed_at + class_settings.key_window)
            return AttemptVerdict::key_window_expired;
    }
    if (!request.attempts.empty() && !input.budget.allows_retry(input.settings))
        return AttemptVerdict::budget_exhausted;
    return AttemptVerdict::allowed;
}

bool in_key_scope(KeyScope scope, const Endpoint& first, const Endpoint& candidate) {
    if (scope != KeyScope::all && first.zone != candidate.zone)
        return false;
    return scope != KeyScope::cell || first.cell == candidate.cell;
}

bool may_shed(const ClassSettings& class_settings, const ActiveRequest& request) {
    if (class_settings.idempotency == Idempotency::idempotent)
        return true;
    if (request.first_executed_endpoint < 0 && !request.has_open_attempt())
        return true;
    return class_settings.idempotency == Idempotency::keyed && class_settings.key_scope == KeyScope::all;
}

bool may_cancel_and_retry(const PolicySettings& settings, const ActiveRequest& request) {
    return settings.can_cancel && !request.finished && !request.response_started &&
           settings.classes[request.class_index].idempotency != Idempotency::non_idempotent &&
           static_cast<int>(request.attempts.size()) < settings.max_attempts;
}

}  // namespace gatetiller::policy
