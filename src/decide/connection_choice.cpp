#include "decide/connection_choice.hpp"

#include <utility>

namespace gatetiller::decide {
namespace {

// Limit on the requests of one connection, which stores their ids to recognize late responses.
constexpr std::size_t kMaxRequestsSent = 2000;
// Time before the engine's idle timeout in which no request is sent.
constexpr Micros kIdleMargin = 2 * kSecondMicros;

bool is_usable(const ConnectionSnapshot& connection, Micros now, const ConnectionLimits& limits) {
    return !connection.retired && !connection.carried_this_request &&
           connection.requests_sent < kMaxRequestsSent && connection.open_requests < limits.max_streams &&
           !near_idle_timeout(connection, now, limits);
}

// Whether `left` is chosen rather than `right`.
bool is_preferred(const ConnectionSnapshot& left, const ConnectionSnapshot& right) {
    return std::pair(left.open_requests, -left.last_used) < std::pair(right.open_requests, -right.last_used);
}

}  // namespace

bool near_idle_timeout(const ConnectionSnapshot& connection, Micros now, const ConnectionLimits& limits) {
    return connection.open_requests == 0 && limits.idle_timeout > 0 &&
           now - connection.last_used > limits.idle_timeout - kIdleMargin;
}

ConnectionChoice choose_connection(const std::vector<ConnectionSnapshot>& connections, Micros now,
                                   const ConnectionLimits& limits) {
    ConnectionChoice choice;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (!is_usable(connections[i], now, limits))
            continue;
        if (!choice.reuse || is_preferred(connections[i], connections[*choice.reuse]))
            choice.reuse = i;
    }
    choice.open_if_capacity = choice.reuse && connections[*choice.reuse].open_requests > 0 &&
                              connections.size() < limits.max_connections;
    return choice;
}

}  // namespace gatetiller::decide
