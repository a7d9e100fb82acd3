// Which connection to an engine a request goes out on. A connection carries one request where there are
// connections enough, since whatever breaks one breaks all that is open on it; past their number they are
// shared.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct LinkLimits {
    std::size_t connections = 8;  // to one engine
    std::size_t streams = 100;    // requests on one connection
    Micros connect_time_out = 250 * kMillisecond;
    Micros idle_close = 0;  // the engine's; 0: never
};

struct LinkFacts {          // of one connection
    std::size_t open = 0;   // requests out on it
    std::size_t asked = 0;  // in its whole life
    bool asked_this =
        false;             // the request's id among them: an answer of that try must not count for this one
    bool retired = false;  // a request was given up on it: it serves no further use
    Micros used = 0;       // when something last ended on it
};

// Idle for nearly as long as the engine leaves it open: a request could cross its close, and nobody would
// know whether it ran.
bool stale(const LinkFacts& c, Micros now, const LinkLimits& limits);

struct LinkChoice {
    std::optional<std::size_t> use;  // the best there is; nothing: only a new one will do
    bool new_if_room = false;        // a new one is better, where one more may be opened
};
LinkChoice connection_for(const std::vector<LinkFacts>& connections, Micros now, const LinkLimits& limits);

}  // namespace gatetiller::decide
