#include "decide/node_bounds.hpp"

#include <algorithm>
#include <tuple>

namespace gatetiller::decide {
namespace {

constexpr std::size_t kReserve = 24;         // descriptors that are no connections
constexpr double kEngineShare = 0.35;        // of the others, for engines
constexpr std::size_t kRequestBytes = 8192;  // a request with its answer on the way, as reckoned
constexpr std::size_t kMega = 1 << 20;

}  // namespace

NodeBounds bounds_of(std::int64_t sockets, std::int64_t memory_mb) {
    NodeBounds b;
    const std::size_t all = sockets > 0 ? static_cast<std::size_t>(sockets) : 0;
    const std::size_t usable = all > 2 * kReserve ? all - kReserve : all / 2;
    b.engines =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(usable) * kEngineShare));
    b.clients = std::max<std::size_t>(1, usable - std::min(usable, b.engines));
    const std::size_t memory = static_cast<std::size_t>(std::max<std::int64_t>(memory_mb, 1)) * kMega;
    b.statement_bytes = memory / 8;
    b.requests = std::clamp<std::size_t>(memory / 4 / kRequestBytes, 64, 20'000);
    b.unsent_bytes = std::max<std::size_t>(64 * 1024, memory / 32);
    return b;
}

bool overdue(const ClientFacts& c, Micros now, const ClientTimes& t) {
    if (c.closing)
        return now - c.closing_since >= t.last_words;
    if (c.open > 0 || c.unsent || c.unread)
        return false;
    if (c.half_since > 0)
        return now - c.half_since >= t.half_request;
    return !c.served && now - c.connected >= t.first_request;
}

std::optional<Micros> may_leave_at(const ClientFacts& c, const ClientTimes& t) {
    if (c.open > 0)
        return std::nullopt;
    if (c.closing)
        return c.closing_since;
    if (c.unsent || c.unread)
        return std::nullopt;
    if (c.half_since > 0)
        return c.half_since + t.half_request;
    return c.served ? c.last_active + t.to_ask_again : c.connected + t.to_speak;
}

std::optional<Leaver> makes_room(const std::vector<ClientFacts>& clients, Micros now, const ClientTimes& t) {
    std::optional<Leaver> best;
    const auto rank = [&](const ClientFacts& c, Micros at) {
        return std::tuple(at > now, at > now ? at : 0, !c.closing, c.served, at);
    };
    for (std::size_t i = 0; i < clients.size(); ++i) {
        const auto at = may_leave_at(clients[i], t);
        if (at && (!best || rank(clients[i], *at) < rank(clients[best->who], best->at)))
            best = Leaver{i, *at};
    }
    return best;
}

}  // namespace gatetiller::decide
