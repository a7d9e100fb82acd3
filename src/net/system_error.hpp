// What a failed system call proves, by its errno: whether it passes, whether this machine or the peer is the
// cause, and whether a connection is over. Pure functions of the numbers that Linux documents.
#pragma once

namespace gatetiller::net {

enum class TransferError {  // of send and recv
    interrupted,            // nothing was transferred: at once again
    not_ready,              // when the descriptor is ready
    lacks_memory,           // the kernel has no buffers: after a pause, since poll says that it is ready
    connection_over,
};
TransferError transfer_error(int error);

enum class ConnectError {
    in_progress,  // the kernel goes on by itself, also where a signal interrupted the call
    local,    // this machine lacks something (descriptors, memory, ports, a route): says nothing of the peer
    refused,  // the peer, or the way to it
};
ConnectError connect_error(int error);

enum class AcceptError {
    none_waits,
    of_one_connection,  // the one accepted had failed already, or a signal interrupted the call: the next one
    lacks_resources,    // descriptors or memory: after a pause
    listener_broken,
};
AcceptError accept_error(int error);

// Whether opening, reading, binding or listening may succeed a moment later.
bool is_transient_startup_error(int error);

}  // namespace gatetiller::net
