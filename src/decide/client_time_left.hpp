// The part of a client's timeout that is left for a request at this gateway.
#pragma once

#include <algorithm>

#include "base/time.hpp"

namespace gatetiller::decide {

// All durations are microseconds. The client's timeout runs from when it sent the request until it has read
// the final response, so two durations are deducted from `client_timeout`: `unseen`, the longest time for
// which the request may have waited before this gateway read it, and `reserve`, the transmission time of the
// response, but at most a tenth of `client_timeout`. Returns 0 where nothing is left: the client may have
// stopped waiting.
inline Micros client_time_left(Micros client_timeout, Micros unseen, Micros reserve) {
    return std::max<Micros>(0, client_timeout - unseen - std::min(reserve, client_timeout / 10));
}

}  // namespace gatetiller::decide
