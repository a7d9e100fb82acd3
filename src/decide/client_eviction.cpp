#include "decide/client_eviction.hpp"

#include <tuple>

namespace gatetiller::decide {
namespace {

// Orders candidates for eviction: the smallest is evicted first.
auto eviction_rank(const ClientSnapshot& client, Micros evictable_at, Micros now) {
    const bool must_wait = evictable_at > now;
    return std::tuple(must_wait, must_wait ? evictable_at : 0, !client.closing, client.has_sent_request,
                      evictable_at);
}

}  // namespace

bool has_timed_out(const ClientSnapshot& client, Micros now, const ClientTimeouts& timeouts) {
    if (client.closing)
        return now - client.closing_since >= timeouts.linger_timeout;
    if (client.open_requests > 0 || client.has_unsent || client.has_unread)
        return false;
    if (client.partial_request_since > 0)
        return now - client.partial_request_since >= timeouts.partial_request_timeout;
    return !client.has_sent_request && now - client.connected_at >= timeouts.first_request_timeout;
}

std::optional<Micros> evictable_at(const ClientSnapshot& client, const ClientTimeouts& timeouts) {
    if (client.open_requests > 0)
        return std::nullopt;
    if (client.closing)
        return client.closing_since;
    if (client.has_unsent || client.has_unread)
        return std::nullopt;
    if (client.partial_request_since > 0)
        return client.partial_request_since + timeouts.partial_request_timeout;
    if (client.has_sent_request)
        return client.last_active_at + timeouts.next_request_grace;
    return client.connected_at + timeouts.first_byte_grace;
}

std::optional<EvictionCandidate> select_eviction(const std::vector<ClientSnapshot>& clients, Micros now,
                                                 const ClientTimeouts& timeouts) {
    std::optional<EvictionCandidate> best;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        const auto at = evictable_at(clients[i], timeouts);
        if (!at)
            continue;
        if (!best || eviction_rank(clients[i], *at, now) <
                         eviction_rank(clients[best->index], best->evictable_at, now))
            best = EvictionCandidate{i, *at};
    }
    return best;
}

}  // namespace gatetiller::decide
