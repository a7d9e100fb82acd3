// Classification of failed system calls by errno: whether the failure is transient, whether this machine or
// the peer is the cause, and whether a connection has ended. Pure functions of the values documented by
// Linux.
#pragma once

namespace gatetiller::net {

enum class TransferError {  // errors of send and recv
    interrupted,            // nothing was transferred: retry immediately
    not_ready,              // retry when the descriptor is ready
    lacks_memory,  // no kernel buffers: retry after a pause, since poll reports the descriptor as ready
    connection_over,
};
TransferError transfer_error(int error);

enum class ConnectError {
    in_progress,  // the kernel continues in the background, also after an interruption by a signal
    local,        // this machine lacks a resource (descriptors, memory, ports, a route); the peer's state is
                  // unknown
    refused,      // by the peer, or the network path to it
};
ConnectError connect_error(int error);

enum class AcceptError {
    none_pending,
    of_one_connection,  // the connection had already failed, or a signal interrupted the call: try the next
                        // one
    lacks_resources,    // descriptors or memory: retry after a pause
    listener_broken,
};
AcceptError accept_error(int error);

// Returns whether opening, reading, binding or listening may succeed shortly after this error.
bool is_transient_startup_error(int error);

}  // namespace gatetiller::net
