// base: what every package may use; it depends on none. This file: time as whole microseconds.
#pragma once

#include <cstdint>

namespace gatetiller {

// A point in time or a span, in microseconds. Spans and deadlines come from the monotonic clock; a value of
// the wall clock says so in its name or comment.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000, kSecondMicros = 1'000'000;

}  // namespace gatetiller
