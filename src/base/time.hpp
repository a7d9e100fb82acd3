// base: what every package may use and that knows none of them. This file: time as whole microseconds.
#pragma once

#include <cstdint>

namespace gatetiller {

using Micros = std::int64_t;  // a time or a span of time, in microseconds

constexpr Micros kMillisecond = 1000, kSecondMicros = 1'000'000;

}  // namespace gatetiller
