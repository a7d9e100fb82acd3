#include "decide/resource_limits.hpp"

#include <algorithm>
#include <tuple>

namespace gatetiller::decide {
namespace {

constexpr std::size_t kReserve = 24;         // descriptors that are no connections
constexpr double kEngineShare = 0.35;        // of the others, for engines
constexpr std::size_t kRequestBytes = 8192;  // a request with its answer on the way, as reckoned
constexpr std::size_t kMega = 1 << 20;

}  // namespace

ResourceLimits derive_limits(std::int64_t sockets, std::int64_t memory_mb) {
    ResourceLimits b;
    const std::size_t all = sockets > 0 ? static_cast<std::size_t>(sockets) : 0;
    const std::size_t usable = all > 2 * kReserve ? all - kReserve : all / 2;
    b.engine_connections =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(usable) * kEngineShare));
    b.client_connections = std::max<std::size_t>(1, usable - std::min(usable, b.engine_connections));
    const std::size_t memory = static_cast<std::size_t>(std::max<std::int64_t>(memory_mb, 1)) * kMega;
    b.statement_bytes = memory / 8;
    b.requests = std::clamp<std::size_t>(memory / 4 / kRequestBytes, 64, 20'000);
    b.unsent_bytes = std::max<std::size_t>(64 * 1024, memory / 32);
    return b;
}

bool has_timed_out(const ClientSnapshot& c, Micros now, const ClientTimeouts& t) {
    if (c.closing)
        return now - c.closing_since >= t.linger_timeout;
    if (c.open_requests > 0 || c.has_unsent || c.has_unread)
        return false;
    if (c.partial_request_since > 0)
        return now - c.partial_request_since >= t.partial_request_timeout;
    return !c.has_sent_request && now - c.connected_at >= t.first_request_timeout;
}

std::optional<Micros> evictable_at(const ClientSnapshot& c, const ClientTimeouts& t) {
    if (c.open_requests > 0)
        return std::nullopt;
    if (c.closing)
        return c.closing_since;
    if (c.has_unsent || c.has_unread)
        return std::nullopt;
    if (c.partial_request_since > 0)
        return c.partial_request_since + t.partial_request_timeout;
    return c.has_sent_request ? c.last_active_at + t.next_request_grace : c.connected_at + t.first_byte_grace;
}

std::optional<EvictionCandidate> select_eviction(const std::vector<ClientSnapshot>& clients, Micros now,
                                                 const ClientTimeouts& t) {
    std::optional<EvictionCandidate> best;
    const auto rank = [&](const ClientSnapshot& c, Micros at) {
        return std::tuple(at > now, at > now ? at : 0, !c.closing, c.has_sent_request, at);
    };
    for (std::size_t i = 0; i < clients.size(); ++i) {
        const auto at = evictable_at(clients[i], t);
        if (at && (!best || rank(clients[i], *at) < rank(clients[best->index], best->evictable_at)))
            best = EvictionCandidate{i, *at};
    }
    return best;
}

}  // namespace gatetiller::decide
