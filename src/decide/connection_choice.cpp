#include "decide/connection_choice.hpp"

#include <utility>

namespace gatetiller::decide {
namespace {

constexpr std::size_t kAskedMost = 2000;           // ids that a connection remembers
constexpr Micros kIdleMargin = 2 * kSecondMicros;  // before the engine closes an idle one

}  // namespace

bool near_idle_timeout(const ConnectionSnapshot& c, Micros now, const ConnectionLimits& limits) {
    return c.open_requests == 0 && limits.idle_timeout > 0 &&
           now - c.last_used > limits.idle_timeout - kIdleMargin;
}

ConnectionChoice choose_connection(const std::vector<ConnectionSnapshot>& connections, Micros now,
                                   const ConnectionLimits& limits) {
    ConnectionChoice choice;
    // The fewest requests; of those the one used last, so that the others may idle away.
    const auto rank = [&](std::size_t i) {
        return std::pair(connections[i].open_requests, -connections[i].last_used);
    };
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const ConnectionSnapshot& c = connections[i];
        const bool usable = !c.retired && !c.carried_this_request && c.requests_sent < kAskedMost &&
                            c.open_requests < limits.max_streams && !near_idle_timeout(c, now, limits);
        if (usable && (!choice.reuse || rank(i) < rank(*choice.reuse)))
            choice.reuse = i;
    }
    choice.open_if_capacity = choice.reuse && connections[*choice.reuse].open_requests > 0 &&
                              connections.size() < limits.max_connections;
    return choice;
}

}  // namespace gatetiller::decide
