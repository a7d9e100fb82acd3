// How a front node shares what its machine allows, and which client connections it closes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::decide {

struct NodeBounds {
    std::size_t clients = 0;          // connections
    std::size_t engines = 0;          // connections to all engines together
    std::size_t requests = 0;         // taken and not over
    std::size_t statement_bytes = 0;  // of all requests held
    std::size_t unsent_bytes = 0;     // of answers that one client has not read
};

// Of the process's descriptors some are kept for what is not a connection (log, listener, name service, files
// at a reload); engines get what a busy hour needs, clients the rest: the usual ones hold a third at most.
NodeBounds bounds_of(std::int64_t sockets, std::int64_t memory_mb);

struct DoorTimes {
    Micros first_request = 2 * kSecondMicros;  // from connecting until a whole request is there
    Micros half_request = 2 * kSecondMicros;   // from a request's first byte to its last
    Micros to_speak = 50 * kMillisecond;       // nobody makes room for another before it could say anything
    Micros last_words = kSecondMicros;         // for a client to read why it is closed
};

struct ClientFacts {
    Micros connected = 0, last_active = 0;
    Micros half_since = 0;  // a request's first bytes are there since then; 0: none
    std::size_t open = 0;   // requests
    bool served = false;    // some request came whole
    bool closing = false;   // it has been told why
    Micros closing_since = 0;
};

bool overdue(const ClientFacts& c, Micros now, const DoorTimes& times);
// Which one makes room for another: one that is being closed, one that never asked, one that is idle; each
// time the longest so. Nothing where every connection has requests open.
std::optional<std::size_t> makes_room(const std::vector<ClientFacts>& clients);
// From when it may be closed to make room: a flood of the silent must not wash away who is about to ask.
Micros may_leave_at(const ClientFacts& c, const DoorTimes& times);

}  // namespace gatetiller::decide
