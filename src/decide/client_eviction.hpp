// Timeouts of client connections, and which connection is closed for a new client at the connection limit.
//
// An open connection is never timed out or evicted while a request has no final response, a response is
// not fully written, or received bytes are unread: a close would lose them. One that this side has shut down
// is timed out after linger_timeout. Times are microseconds of one monotonic clock.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct ClientTimeouts {
    // From connecting until the first complete request.
    Micros first_request_timeout = 2 * kSecondMicros;
    // From the first byte of a request to its last.
    Micros partial_request_timeout = 2 * kSecondMicros;
    // A connection that has sent no request is not evicted within this time after connecting.
    Micros first_byte_grace = 50 * kMillisecond;
    // An idle connection is not evicted within this time after its last activity.
    Micros next_request_grace = 250 * kMillisecond;
    // After this side shut the connection down: time for the client to read the last response and to close.
    Micros linger_timeout = kSecondMicros;
};

// One client connection at the moment of the decision.
struct ClientSnapshot {
    Micros connected_at = 0;
    // The end of the last request.
    Micros last_active_at = 0;
    // When the first byte of an incomplete request arrived; 0: there is none.
    Micros partial_request_since = 0;
    // Requests without a final response.
    std::size_t open_requests = 0;
    // Part of a response is not written.
    bool has_unsent = false;
    // Bytes were received and not read.
    bool has_unread = false;
    // A complete request was received.
    bool has_sent_request = false;
    // This side has shut the connection down and waits for the client to close, since `closing_since`.
    bool closing = false;
    Micros closing_since = 0;
};

// Whether one of the timeouts for the first request, a partial request or lingering has passed.
bool has_timed_out(const ClientSnapshot& client, Micros now, const ClientTimeouts& timeouts);

// From when on the connection may be closed for another client or at a graceful shutdown; nothing while it
// may not be closed at all. The graces keep a flood of idle connections from evicting clients that are
// about to send a request.
std::optional<Micros> evictable_at(const ClientSnapshot& client, const ClientTimeouts& timeouts);

// The connection to evict.
struct EvictionCandidate {
    // Into the clients that were given.
    std::size_t index = 0;
    // May be later than now: then the new client waits until that time.
    Micros evictable_at = 0;
};

// Chooses the connection to evict. Of those that are evictable at `now`: first connections that are closing,
// then those that never sent a request, then idle ones, each time the one that has been evictable longest. If
// none is evictable now: the one that is evictable first. Nothing if none may be closed.
std::optional<EvictionCandidate> select_eviction(const std::vector<ClientSnapshot>& clients, Micros now,
                                                 const ClientTimeouts& timeouts);

}  // namespace gatetiller::decide
