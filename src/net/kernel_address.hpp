// Addresses as the kernel takes and gives them.
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
// `otherwise` is given back for a family that has no number, such as a Unix socket's.
Address from_kernel(const sockaddr_storage& storage, const Address& otherwise);
// What a socket is bound to, with the port that the kernel chose.
Address bound_address(int fd, const Address& asked);
// A new non-blocking socket of the address's family, or -1 with errno.
int open_socket(const Address& address, int type = SOCK_STREAM);
// Small answers must not wait for an acknowledgement. Fails on Unix sockets, harmlessly.
void set_no_delay(int fd);

}  // namespace gatetiller::net
