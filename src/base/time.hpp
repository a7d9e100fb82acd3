// Time in whole microseconds. Every package may use src/base, which depends on no other.
#pragma once

#include <cstdint>

namespace gatetiller {

// A point in time or a duration, in microseconds. Durations and deadlines are measured by the monotonic
// clock; a wall clock value says so in its name or comment.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000, kSecondMicros = 1'000'000;

}  // namespace gatetiller
