// A planned restart of a front node: how long it takes new requests, and what the last ones are told.
#pragma once

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

struct ShutdownSchedule {
    Micros admit_until = 700 * kMillisecond;           // from the signal on: clients still come for so long
    Micros listen_until = kSecondMicros;               // at least: one that was late still gets its refusal
    Micros final_responses_at = 3'300 * kMillisecond;  // then what is left is told so
    Micros exit_at = 3'550 * kMillisecond;             // then it ends, whoever has not read or closed
};
// The platform waits for the longest deadline, which it counts as 3 s where it is longer, and somewhat more
// before it kills: the last answers go out shortly after that deadline.
ShutdownSchedule derive_shutdown_schedule(const PolicySettings& settings);

enum class FinalResponse {
    rejected,
    failed
};
// A refusal says that trying again is harmless.
FinalResponse final_response_at_shutdown(const ClassSettings& c, bool may_have_run);

}  // namespace gatetiller::decide
