#include "decide/graceful_shutdown.hpp"

#include <algorithm>

namespace gatetiller::decide {
namespace {

constexpr Micros kCountedMost = 3 * kSecondMicros;
constexpr Micros kKilledPast = 700 * kMillisecond;  // the deadline: the platform kills no sooner
constexpr Micros kSpare = 150 * kMillisecond;       // for the end to be over by then
constexpr Micros kToRead = 250 * kMillisecond;      // for clients to read the last answers and to close

}  // namespace

ShutdownSchedule derive_shutdown_schedule(const PolicySettings& settings) {
    Micros longest = 0;
    for (const auto& c : settings.classes)
        longest = std::max(longest, c.deadline);
    ShutdownSchedule t;
    t.exit_at = std::min(longest, kCountedMost) + kKilledPast - kSpare;
    t.final_responses_at = std::max(t.admit_until, t.exit_at - kToRead);
    t.listen_until = std::min(t.listen_until, t.final_responses_at);
    return t;
}

FinalResponse final_response_at_shutdown(const ClassSettings& c, bool may_have_run) {
    const bool harmless = !may_have_run || c.idempotency == Idempotency::idempotent ||
                          (c.idempotency == Idempotency::keyed && c.key_scope == KeyScope::all);
    return harmless ? FinalResponse::rejected : FinalResponse::failed;
}

}  // namespace gatetiller::decide
