// Limits of a front node, derived from the file descriptors and the memory that its machine allows it.
//
// 24 descriptors are reserved for other purposes than connections (log, listener, name service, files at a
// reload), or half of all where there are fewer than 48. Engines get 35 % of the rest and clients the
// remainder; at least one each. Statements get an eighth of the memory, and the number of requests is bounded
// so that at 8 KiB each, the first page of a result included, they fit a quarter. Input of clients that is
// not read yet gets a sixteenth, and so do the further pages of results that are not complete. Unsent
// responses get a quarter for all clients, and one client a thirty-second part as its share, with four times
// that as its limit, or the responses to all requests that a client may have open where that is more.
#pragma once

#include <cstddef>
#include <cstdint>

namespace gatetiller::decide {

// The limits of one process.
struct ResourceLimits {
    // Connections from clients.
    std::size_t client_connections = 0;
    // Connections to all engines together.
    std::size_t engine_connections = 0;
    // Requests that are admitted and not finished.
    std::size_t requests = 0;
    // Bytes of the statements of all these requests.
    std::size_t statement_bytes = 0;
    // Bytes of input of all clients that is not read yet, above which incomplete messages are discarded.
    std::size_t input_bytes = 0;
    // Bytes of the pages after the first of all results that are not complete, beyond which no more are
    // requested.
    std::size_t result_bytes = 0;
    // Share of one client in bytes of unsent responses: it may hold more while it reads (slow_reader.hpp).
    std::size_t unsent_bytes = 0;
    // Limit on the same, whether the client reads or not.
    std::size_t max_unsent_bytes = 0;
    // Bytes of unsent responses of all clients together, above which those that read nothing are closed, and
    // no request of a client with unread responses is admitted.
    std::size_t total_unsent_bytes = 0;
};

// `descriptors`: file descriptors that the process may open; `memory_mb`: memory that it may use, in MiB.
// Values below 1 count as none and 1 MiB.
ResourceLimits derive_limits(std::int64_t descriptors, std::int64_t memory_mb);

}  // namespace gatetiller::decide
