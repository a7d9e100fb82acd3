#include "decide/graceful_shutdown.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

// The platform treats longer deadlines as this one.
constexpr Micros kMaxCountedDeadline = 3 * kSecondMicros;
// Time from that deadline until the platform kills the process.
constexpr Micros kKillDelay = 700 * kMillisecond;
// Time from the process's exit until it would be killed.
constexpr Micros kExitMargin = 150 * kMillisecond;
// Time for clients to read their final responses and to close.
constexpr Micros kFinalResponseTime = 250 * kMillisecond;

}  // namespace

ShutdownSchedule derive_shutdown_schedule(const PolicySettings& settings) {
    Micros longest_deadline = 0;
    for (const ClassSettings& cls : settings.classes)
        longest_deadline = std::max(longest_deadline, cls.deadline);
    ShutdownSchedule schedule;
    schedule.exit_at = std::min(longest_deadline, kMaxCountedDeadline) + kKillDelay - kExitMargin;
    schedule.final_responses_at = std::max(schedule.admit_until, schedule.exit_at - kFinalResponseTime);
    schedule.listen_until = std::min(schedule.listen_until, schedule.final_responses_at);
    return schedule;
}

FinalResponse final_response_at_shutdown(const ClassSettings& cls, bool may_have_run) {
    const bool retry_is_safe = !may_have_run || cls.idempotency == Idempotency::idempotent ||
                               (cls.idempotency == Idempotency::keyed && cls.key_scope == KeyScope::all);
    return retry_is_safe ? FinalResponse::rejected : FinalResponse::failed;
}

}  // namespace gatetiller::decide
