// Conversion between Address and the socket addresses of the kernel, and socket helpers.
#pragma once

#include <sys/socket.h>

#include "net/loop.hpp"

namespace gatetiller::net {

struct KernelAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
    sockaddr* get() {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

KernelAddress to_kernel(const Address& address);
// Returns `fallback` for families without a numeric address, such as Unix sockets.
Address from_kernel(const sockaddr_storage& storage, const Address& fallback);
// Returns the address a socket is bound to, including the port chosen by the kernel.
Address bound_address(int fd, const Address& requested);
// Returns a new non-blocking socket of the address's family, or -1 with errno set.
int open_socket(const Address& address, int type = SOCK_STREAM);
// Sets TCP_NODELAY, so that small responses do not wait for an acknowledgement. Has no effect on Unix
// sockets.
void set_no_delay(int fd);

}  // namespace gatetiller::net
