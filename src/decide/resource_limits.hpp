// How a front node shares what its machine allows, and which client connections it closes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct ResourceLimits {
    std::size_t client_connections = 0;  // connections
    std::size_t engine_connections = 0;  // connections to all engines together
    std::size_t requests = 0;            // taken and not over
    std::size_t statement_bytes = 0;     // of all requests held
    std::size_t unsent_bytes = 0;        // of answers that one client has not read
};

// Of the process's descriptors some are kept for what is not a connection (log, listener, name service, files
// at a reload); engines get what a busy hour needs, clients the rest: the usual ones hold a third at most.
ResourceLimits derive_limits(std::int64_t sockets, std::int64_t memory_mb);

struct ClientTimeouts {
    Micros first_request_timeout = 2 * kSecondMicros;    // from connecting until a whole request is there
    Micros partial_request_timeout = 2 * kSecondMicros;  // from a request's first byte to its last
    Micros first_byte_grace =
        50 * kMillisecond;  // nobody makes room for another before it could say anything
    Micros next_request_grace = 250 * kMillisecond;  // nor so soon after its last request
    Micros linger_timeout = kSecondMicros;  // for a client to read why it is closed, and to close too
};

struct ClientSnapshot {
    Micros connected_at = 0, last_active_at = 0;
    Micros partial_request_since = 0;  // a request's first bytes are there since then; 0: none
    std::size_t open_requests = 0;     // requests
    bool has_unsent = false;           // part of an answer has not gone out
    bool has_unread = false;           // bytes have come that were not looked at
    bool has_sent_request = false;     // some request came whole
    bool closing = false;              // this side has said all and is shut
    Micros closing_since = 0;
};

// Whether it has had its time. Never while an answer is owed to it or on its way: closing would lose that.
bool has_timed_out(const ClientSnapshot& c, Micros now, const ClientTimeouts& times);
// From when it may be closed to make room or at a restart; nothing while it is owed an answer. A flood of the
// silent must not wash away who is about to ask, and half a request is soon a whole one.
std::optional<Micros> evictable_at(const ClientSnapshot& c, const ClientTimeouts& times);
// Which one makes room for another, and from when on. Of those that may leave now: one that is being closed,
// one that never asked, one that is idle; each time the longest so. Else whoever may leave first: a resting
// client must not be kept at the price of those that wait outside. Nothing where all are owed answers.
struct EvictionCandidate {
    std::size_t index = 0;
    Micros evictable_at = 0;
};
std::optional<EvictionCandidate> select_eviction(const std::vector<ClientSnapshot>& clients, Micros now,
                                                 const ClientTimeouts& times);

}  // namespace gatetiller::decide
