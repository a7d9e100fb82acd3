#include "net/system_error.hpp"

#include <cerrno>

namespace gatetiller::net {

TransferError transfer_error(int error) {
    switch (error) {
        case EINTR:
            return TransferError::interrupted;
        case EAGAIN:
            return TransferError::not_ready;
        case ENOBUFS:
        case ENOMEM:
            return TransferError::lacks_memory;
        default:
            return TransferError::connection_over;
    }
}

ConnectError connect_error(int error) {
    switch (error) {
        case EINPROGRESS:
        case EALREADY:
        case EINTR:
            return ConnectError::in_progress;
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EAGAIN:
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case ENETUNREACH:
        case ENETDOWN:
        case EACCES:
        case EPERM:
            return ConnectError::local;
        default:
            return ConnectError::refused;
    }
}

AcceptError accept_error(int error) {
    switch (error) {
        case EAGAIN:
            return AcceptError::none_pending;
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return AcceptError::lacks_resources;
        case EBADF:
        case EINVAL:
        case ENOTSOCK:
            return AcceptError::listener_broken;
        // Linux reports errors pending on the new socket as errors of accept; they are treated like a
        // connection that no longer exists (accept(2)).
        default:
            return AcceptError::of_one_connection;
    }
}

bool is_transient_startup_error(int error) {
    switch (error) {
        case EINTR:
        case EAGAIN:
        case EIO:
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRINUSE:
        case EADDRNOTAVAIL:
        case ENETDOWN:
        case ENODEV:
            return true;
        default:
            return false;
    }
}

}  // namespace gatetiller::net
