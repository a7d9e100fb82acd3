// Which clients are closed because they do not read their responses.
//
// A client that reads never has more unsent responses than requests it may have open, and takes bytes
// whenever the kernel has room for them. So a client is closed at once only for more than that; for less,
// only after it has been offered bytes and has taken none at several checks in a row. A check counts for
// nothing unless the bytes have been offered to the kernel since the previous one.
#pragma once

#include <cstddef>
#include <vector>

#include "decide/resource_limits.hpp"

namespace gatetiller::decide {

// One client connection at a check.
struct ReaderSnapshot {
    // Bytes of responses that the kernel has not accepted.
    std::size_t unsent_bytes = 0;
    // Consecutive checks, this one included, at which the kernel had accepted no byte since the previous
    // check.
    int stalled_checks = 0;
    // The same checks while messages of the client wait until it has read its responses (must_read_first), if
    // it acknowledged no byte either; 0: none wait. A slow line acknowledges bytes long before the kernel has
    // room for more, and requests may be among those that wait.
    int silent_checks = 0;
};

// Counts the checks at which a client has taken none of the bytes offered to it.
class ReadProgress {
public:
    // Bytes were queued for the client.
    void add_queued(std::size_t bytes) {
        queued_ += bytes;
    }
    // To be called at each check, with the bytes that the kernel has not accepted yet.
    ReaderSnapshot check(std::size_t unsent_bytes);

private:
    std::size_t queued_ = 0;
    std::size_t accepted_ = 0;  // at the last check
    int stalled_checks_ = 0;
};

// What is known of a client's next message and of what clients have not read, when it is about to be handled.
struct UnreadResponses {
    // Bytes of the client's own responses, and of those of all clients, that the kernel has not accepted.
    std::size_t client_bytes = 0;
    std::size_t total_bytes = 0;
    // The message is answered at once and does not count as an open request.
    bool is_answered_at_once = false;
};

// Whether the message waits until its client has read its responses. Otherwise clients that send messages
// without reading make responses grow until they are closed. Requests wait only while all clients together
// hold half of ResourceLimits::total_unsent_bytes, other messages always.
bool must_read_first(const UnreadResponses& unread, const ResourceLimits& limits);

// Whether the unsent responses of one client are more than any client that reads can have. Needs no check.
bool exceeds_unsent_limit(std::size_t unsent_bytes, const ResourceLimits& limits);

// Returns the indices of the clients to close at a check: those that have stalled for long and are over their
// share or have messages that wait, then, while all together hold more than
// ResourceLimits::total_unsent_bytes, stalled ones, the largest first.
std::vector<std::size_t> select_slow_readers(const std::vector<ReaderSnapshot>& clients,
                                             const ResourceLimits& limits);

}  // namespace gatetiller::decide
