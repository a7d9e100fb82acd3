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

bool overdue(const ClientFacts& c, Micros now, const DoorTimes& t) {
    if (c.closing) return now - c.closing_since >= t.last_words;
    if (c.half_since > 0 && now - c.half_since >= t.half_request) return true;
    return !c.served && now - c.connected >= t.first_request;
}

std::optional<std::size_t> makes_room(const std::vector<ClientFacts>& clients) {
    std::optional<std::size_t> best;
    const auto rank = [](const ClientFacts& c) {
        return std::tuple(!c.closing, c.served, c.served ? c.last_active : c.connected);
    };
    for (std::size_t i = 0; i < clients.size(); ++i)
        if (clients[i].open == 0 && (!best || rank(clients[i]) < rank(clients[*best]))) best = i;
    return best;
}

Micros may_leave_at(const ClientFacts& c, const DoorTimes& t) {
    return c.closing || c.served ? 0 : c.connected + t.to_speak;
}

}  // namespace gatetiller::decide
