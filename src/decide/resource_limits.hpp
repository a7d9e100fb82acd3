// Limits of a front node, derived from the file descriptors and the memory that its machine allows it.
//
// 24 descriptors are reserved for other purposes than connections (log, listener, name service, files at a
// reload), or half of all where there are fewer than 48. Engines get 35 % of the rest and clients the
// remainder; at least one each. Statements get an eighth of the memory, responses that one client has not
// read a thirty-second part, and the number of requests is bounded so that at 8 KiB each they fit a quarter.
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
    // Bytes of responses that one client has not read.
    std::size_t unsent_bytes = 0;
};

// `descriptors`: file descriptors that the process may open; `memory_mb`: memory that it may use, in MiB.
// Values below 1 count as none and 1 MiB.
ResourceLimits derive_limits(std::int64_t descriptors, std::int64_t memory_mb);

}  // namespace gatetiller::decide
