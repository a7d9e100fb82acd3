// Chooses the connection to an engine for one request.
//
// A failing connection fails every request on it, so a request gets a connection of its own while the engine
// may have more of them; beyond that number connections are shared (multiplexed). Among usable connections
// the one with the fewest open requests is chosen, and of equals the one used last, so that the others reach
// their idle timeout. Times are microseconds of one monotonic clock.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

// Limits on the connections to one engine.
struct ConnectionLimits {
    // Connections to one engine.
    std::size_t max_connections = 8;
    // Open requests on one connection.
    std::size_t max_streams = 100;
    // Time to establish a connection.
    Micros connect_timeout = 250 * kMillisecond;
    // Time after which the engine closes an idle connection; 0: never.
    Micros idle_timeout = 0;
};

// One connection at the moment of the choice.
struct ConnectionSnapshot {
    // Requests without a result.
    std::size_t open_requests = 0;
    // Requests sent on it since it was opened.
    std::size_t requests_sent = 0;
    // An earlier attempt of the same request was sent on it: a late response to that attempt would be read as
    // the response to the new one.
    bool carried_this_request = false;
    // It accepts no more requests, as one was abandoned on it.
    bool retired = false;
    // When a request on it last ended.
    Micros last_used = 0;
};

// Whether an idle connection is so close to the engine's idle timeout that a request could cross the engine's
// close, which would leave unknown whether it was executed.
bool near_idle_timeout(const ConnectionSnapshot& connection, Micros now, const ConnectionLimits& limits);

// The verdict of choose_connection().
struct ConnectionChoice {
    // Index of the best usable connection; nothing: none is usable, a new one is needed.
    std::optional<std::size_t> reuse;
    // A new connection is better than sharing `reuse`, where the process may open one more.
    bool open_if_capacity = false;
};

// Chooses among the connections to one engine.
ConnectionChoice choose_connection(const std::vector<ConnectionSnapshot>& connections, Micros now,
                                   const ConnectionLimits& limits);

}  // namespace gatetiller::decide
