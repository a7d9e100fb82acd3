#include "net/kernel_address.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/un.h>

#include <cstring>

namespace gatetiller::net {

KernelAddress to_kernel(const Address& a) {
    KernelAddress s;
    if (a.family == Address::Family::local) {
        auto* un = reinterpret_cast<sockaddr_un*>(&s.storage);
        un->sun_family = AF_UNIX;
        std::memcpy(un->sun_path, a.host.c_str(), a.host.size() + 1);
        s.size = sizeof(sockaddr_un);
    } else if (a.family == Address::Family::ipv6) {
        auto* in = reinterpret_cast<sockaddr_in6*>(&s.storage);
        in->sin6_family = AF_INET6, in->sin6_port = htons(a.port);
        inet_pton(AF_INET6, a.host.c_str(), &in->sin6_addr);
        s.size = sizeof(sockaddr_in6);
    } else {
        auto* in = reinterpret_cast<sockaddr_in*>(&s.storage);
        in->sin_family = AF_INET, in->sin_port = htons(a.port);
        inet_pton(AF_INET, a.host.c_str(), &in->sin_addr);
        s.size = sizeof(sockaddr_in);
    }
    return s;
}

Address from_kernel(const sockaddr_storage& storage, const Address& fallback) {
    Address a = fallback;
    char text[INET6_ADDRSTRLEN] = "";
    if (storage.ss_family == AF_INET) {
        const auto* in = reinterpret_cast<const sockaddr_in*>(&storage);
        a = {Address::Family::ipv4, inet_ntop(AF_INET, &in->sin_addr, text, sizeof text),
             ntohs(in->sin_port)};
    } else if (storage.ss_family == AF_INET6) {
        const auto* in = reinterpret_cast<const sockaddr_in6*>(&storage);
        a = {Address::Family::ipv6, inet_ntop(AF_INET6, &in->sin6_addr, text, sizeof text),
             ntohs(in->sin6_port)};
    }
    return a;
}

Address bound_address(int fd, const Address& requested) {
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    return from_kernel(bound, requested);
}

int open_socket(const Address& a, int type) {
    const int family = a.family == Address::Family::local  ? AF_UNIX
                       : a.family == Address::Family::ipv6 ? AF_INET6
                                                           : AF_INET;
    return ::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void set_no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace gatetiller::net
