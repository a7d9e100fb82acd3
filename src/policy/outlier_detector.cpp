#include "policy/outlier_detector.hpp"

#include <algorithm>

namespace gatetiller::policy {
namespace {

constexpr double kErrorWeight = 0.15;
constexpr double kEjectionErrorRate = 0.25;  // reached by two consecutive failures
constexpr Micros kFirstEjectionTime = 500 * kMillisecond;
constexpr Micros kMaxEjectionTime = 4 * kSecondMicros;
constexpr Micros kRejectionPause = kSecondMicros;

}  // namespace

bool EndpointHealth::pauses(int class_index, Micros now) const {
    if (now < paused_until_)
        return true;
    const auto pause = class_paused_until_.find(class_index);
    return pause != class_paused_until_.end() && now < pause->second;
}

void EndpointHealth::observe_connection(AttemptOutcome outcome) {
    refuses_connections_ = outcome == AttemptOutcome::connection_refused ||
                           (refuses_connections_ && outcome != AttemptOutcome::succeeded);
}

void EndpointHealth::observe_success() {
    error_rate_ *= 1 - kErrorWeight;
    if (!suspected())
        ejection_time_ = 0;
}

double EndpointHealth::add_error(Micros now) {
    const double added = kErrorWeight * (1 - error_rate_);
    error_rate_ += added;
    if (error_rate_ >= kEjectionErrorRate)
        eject(now);
    return added;
}

void EndpointHealth::withdraw_error(double added) {
    error_rate_ = std::max(0.0, error_rate_ - added);
}

void EndpointHealth::eject(Micros now) {
    if (now < ejected_until_)
        return;
    ejection_time_ = std::clamp(ejection_time_ * 2, kFirstEjectionTime, kMaxEjectionTime);
    ejected_until_ = now + ejection_time_;
    error_rate_ = std::max(error_rate_, kEjectionErrorRate);
}

void EndpointHealth::pause_class(int class_index, Micros now) {
    class_paused_until_[class_index] = now + kRejectionPause;
}

void EndpointHealth::pause_all(Micros now) {
    paused_until_ = now + kRejectionPause;
}

void EndpointHealth::reset() {
    *this = EndpointHealth{};
}

HealthVerdict evaluate_health(const HealthInput& input) {
    switch (input.outcome) {
        case AttemptOutcome::succeeded:
            return HealthVerdict::success;
        case AttemptOutcome::failed:
            return HealthVerdict::failure;
        case AttemptOutcome::rejected:
            return HealthVerdict::overloaded;
        case AttemptOutcome::connection_refused:
        case AttemptOutcome::connection_reset:
            return HealthVerdict::unreachable;
        case AttemptOutcome::timed_out:
            return input.endpoint_last_active_at < input.dispatched_at ? HealthVerdict::unreachable
                                                                       : HealthVerdict::none;
        case AttemptOutcome::cancelled:
        case AttemptOutcome::not_sent:
            return HealthVerdict::none;
    }
    return HealthVerdict::none;
}

bool failed_elsewhere(const ActiveRequest& request, const Attempt& attempt) {
    return std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& other) {
        return other.failed && other.endpoint != attempt.endpoint;
    });
}

bool is_silent(const SilenceInput& input) {
    const Micros last_activity =
        std::max({input.oldest_dispatch, input.last_active_at, input.gateway_resumed_at});
    return input.now - last_activity >= input.progress_period + kSilenceGrace;
}

}  // namespace gatetiller::policy
