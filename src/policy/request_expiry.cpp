#include "policy/request_expiry.hpp"

#include <algorithm>

#include "policy/outlier_detector.hpp"

namespace gatetiller::policy {
namespace {

constexpr Micros kAnswerMargin = 15 * kMillisecond;  // from a final answer to the deadline
constexpr double kStuckFactor = 1.5;                 // of the expected run time and a second
constexpr double kOverdueRuns = 4;                   // usual runs without an answer
constexpr double kRunawayRuns = 3;                   // usual runs still to go

}  // namespace

bool is_worthless(const WaitingInput& input) {
    return input.late_value_share <= 0 && input.now > input.objective_at;
}

std::optional<TerminationReason> judge_waiting(const WaitingInput& input) {
    if (input.now + kAnswerMargin >= input.deadline_at ||
        input.now + static_cast<Micros>(input.run_time) > input.deadline_at)
        return TerminationReason::deadline_unreachable;
    if (is_worthless(input))
        return TerminationReason::objective_missed;
    return std::nullopt;
}

RunningVerdict judge_running(const RunningInput& input) {
    const Attempt& attempt = input.attempt;
    const Micros last_sign =
        std::max({attempt.dispatched_at, attempt.last_progress_at, input.gateway_resumed_at});
    if (input.progress_period > 0 && input.now - last_sign >= 2 * input.progress_period + kSilenceGrace / 2)
        return RunningVerdict::lost;
    // A short query ends before any note: it is overdue by its usual run.
    const bool heard_all_along =
        attempt.last_progress_at == 0 && attempt.dispatched_at >= input.gateway_resumed_at;
    if (input.late_value_share <= 0 && heard_all_along &&
        static_cast<double>(input.now - attempt.dispatched_at) > kOverdueRuns * input.usual_run &&
        input.now + static_cast<Micros>(input.run_time) <= input.objective_at)
        return RunningVerdict::overdue;
    return RunningVerdict::expected;
}

bool is_stuck(const Attempt& attempt, Micros now) {
    return static_cast<double>(now - attempt.dispatched_at) >
           kStuckFactor * (attempt.expected_run() + kSecondMicros);
}

bool is_runaway(double remaining, double usual_run) {
    return remaining > kRunawayRuns * usual_run;
}

}  // namespace gatetiller::policy
