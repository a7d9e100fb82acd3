// How much of a client's time the module is told of.
#pragma once

#include <algorithm>

#include "base/time.hpp"

namespace gatetiller::decide {

// A client's clock began when it sent, and it must hold the final answer when its time is up. So two spans
// are taken off: `unseen`, what the statement may have waited before this front saw it, and `reserve` for the
// answer's way back, since an attempt whose outcome can't be known sooner is only ended when the module's
// time is up. Of little time the reserve takes at most a tenth. Nothing is left (0) where the client has gone
// by now, as far as can be known.
inline Micros client_time_left(Micros limit, Micros unseen, Micros reserve) {
    return std::max<Micros>(0, limit - unseen - std::min(reserve, limit / 10));
}

}  // namespace gatetiller::decide
