// A planned restart of a front node: how long it takes new requests, and what the last ones are told.
#pragma once

#include "policy/brain.hpp"

namespace gatetiller::decide {

struct RestartTimes {
    Micros takes_new = 700 * kMillisecond;       // from the signal on: clients still come for so long
    Micros stays = kSecondMicros;                // at least: one that was late still gets its refusal
    Micros last_answers = 3'300 * kMillisecond;  // then what is left is told so
    Micros leaves = 3'550 * kMillisecond;        // then it ends, whoever has not read or closed
};
// The platform waits for the longest deadline, which it counts as 3 s where it is longer, and somewhat more
// before it kills: the last answers go out shortly after that deadline.
RestartTimes restart_times(const Settings& settings);

enum class LastWord {
    refused,
    failed
};
// A refusal says that trying again is harmless.
LastWord last_word(const ClassSettings& c, bool may_have_run);

}  // namespace gatetiller::decide
