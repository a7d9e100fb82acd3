#include "policy/request_expiry.hpp"

#include <algorithm>

#include "policy/outlier_detector.hpp"

namespace gatetiller::policy {
namespace {

constexpr Micros kResponseMargin = 15 * kMillisecond;  // between the final response and the deadline
constexpr double kStuckFactor = 1.5;                   // ratio to the expected run time plus one second
constexpr double kOverdueRunTimes = 4;                 // typical run times without a response
constexpr double kRunawayRunTimes = 3;                 // remaining typical run times

}  // namespace

bool has_lost_value(const WaitingInput& input) {
    return input.late_value_share <= 0 && input.now > input.objective_at;
}

std::optional<TerminationReason> check_waiting(const WaitingInput& input) {
    if (input.now + kResponseMargin >= input.deadline_at ||
        input.now + static_cast<Micros>(input.run_time) > input.deadline_at)
        return TerminationReason::deadline_unreachable;
    if (has_lost_value(input))
        return TerminationReason::objective_missed;
    return std::nullopt;
}

RunningVerdict check_running(const RunningInput& input) {
    const Attempt& attempt = input.attempt;
    const Micros last_activity =
        std::max({attempt.dispatched_at, attempt.last_progress_at, input.gateway_resumed_at});
    if (input.progress_period > 0 &&
        input.now - last_activity >= 2 * input.progress_period + kSilenceGrace / 2)
        return RunningVerdict::lost;
    // A short query ends before its first progress message is due, so its typical run time decides.
    const bool no_progress_since_dispatch =
        attempt.last_progress_at == 0 && attempt.dispatched_at >= input.gateway_resumed_at;
    if (input.late_value_share <= 0 && no_progress_since_dispatch &&
        static_cast<double>(input.now - attempt.dispatched_at) > kOverdueRunTimes * input.typical_run_time &&
        input.now + static_cast<Micros>(input.run_time) <= input.objective_at)
        return RunningVerdict::overdue;
    return RunningVerdict::expected;
}

bool is_stuck(const Attempt& attempt, Micros now) {
    return static_cast<double>(now - attempt.dispatched_at) >
           kStuckFactor * (attempt.expected_run_time() + kSecondMicros);
}

bool is_runaway(double remaining, double typical_run_time) {
    return remaining > kRunawayRunTimes * typical_run_time;
}

}  // namespace gatetiller::policy
