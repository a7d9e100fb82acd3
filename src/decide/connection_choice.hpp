// Which connection to an engine a request goes out on. A connection carries one request where there are
// connections enough, since whatever breaks one breaks all that is open on it; past their number they are
// shared.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct ConnectionLimits {
    std::size_t max_connections = 8;  // to one engine
    std::size_t max_streams = 100;    // requests on one connection
    Micros connect_timeout = 250 * kMillisecond;
    Micros idle_timeout = 0;  // the engine's; 0: never
};

struct ConnectionSnapshot {         // of one connection
    std::size_t open_requests = 0;  // requests out on it
    std::size_t requests_sent = 0;  // in its whole life
    bool carried_this_request =
        false;             // the request's id among them: an answer of that try must not count for this one
    bool retired = false;  // a request was given up on it: it serves no further use
    Micros last_used = 0;  // when something last ended on it
};

// Idle for nearly as long as the engine leaves it open: a request could cross its close, and nobody would
// know whether it ran.
bool near_idle_timeout(const ConnectionSnapshot& c, Micros now, const ConnectionLimits& limits);

struct ConnectionChoice {
    std::optional<std::size_t> reuse;  // the best there is; nothing: only a new one will do
    bool open_if_capacity = false;     // a new one is better, where one more may be opened
};
ConnectionChoice choose_connection(const std::vector<ConnectionSnapshot>& connections, Micros now,
                                   const ConnectionLimits& limits);

}  // namespace gatetiller::decide
