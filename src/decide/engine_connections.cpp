#include "decide/engine_connections.hpp"

#include <utility>

namespace gatetiller::decide {
namespace {

constexpr std::size_t kAskedMost = 2000;           // ids that a connection remembers
constexpr Micros kIdleMargin = 2 * kSecondMicros;  // before the engine closes an idle one

}  // namespace

bool stale(const LinkFacts& c, Micros now, const LinkLimits& limits) {
    return c.open == 0 && limits.idle_close > 0 && now - c.used > limits.idle_close - kIdleMargin;
}

LinkChoice connection_for(const std::vector<LinkFacts>& connections, Micros now, const LinkLimits& limits) {
    LinkChoice choice;
    // The fewest requests; of those the one used last, so that the others may idle away.
    const auto rank = [&](std::size_t i) {
        return std::pair(connections[i].open, -connections[i].used);
    };
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const LinkFacts& c = connections[i];
        const bool usable = !c.retired && !c.asked_this && c.asked < kAskedMost && c.open < limits.streams &&
                            !stale(c, now, limits);
        if (usable && (!choice.use || rank(i) < rank(*choice.use)))
            choice.use = i;
    }
    choice.new_if_room =
        choice.use && connections[*choice.use].open > 0 && connections.size() < limits.connections;
    return choice;
}

}  // namespace gatetiller::decide
