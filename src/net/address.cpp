#include <arpa/inet.h>
#include <sys/un.h>

#include "base/text.hpp"
#include "net/loop.hpp"

namespace gatetiller::net {

Result<Address> Address::parse(std::string_view text) {
    const auto invalid = [&](const char* what) {
        return Error{"address '" + std::string(text) + "': " + what +
                     "; forms: 127.0.0.1:8080, [::1]:8080, localhost:8080, unix:/path"};
    };
    Address a;
    if (text.starts_with("unix:")) {
        a.family = Family::local;
        a.host = text.substr(5);
        if (a.host.empty())
            return invalid("the path is missing");
        if (a.host.size() >= sizeof(sockaddr_un::sun_path))
            return invalid("the path is too long for a socket");
        return a;
    }
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid("the port is missing");
    const auto port = to_number<std::uint16_t>(text.substr(colon + 1));
    if (!port)
        return invalid("the port is not a number from 0 to 65535");
    a.port = *port;
    a.host = text.substr(0, colon);
    if (a.host == "localhost")
        a.host = "127.0.0.1";
    unsigned char bytes[16];
    if (a.host.size() > 2 && a.host.front() == '[' && a.host.back() == ']') {
        a.family = Family::ipv6;
        a.host = a.host.substr(1, a.host.size() - 2);
        if (inet_pton(AF_INET6, a.host.c_str(), bytes) != 1)
            return invalid("not an IPv6 address");
    } else if (inet_pton(AF_INET, a.host.c_str(), bytes) != 1) {
        return invalid("not an IPv4 address (names are not looked up)");
    }
    return a;
}

std::string Address::text() const {
    if (family == Family::local)
        return "unix:" + host;
    return (family == Family::ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

}  // namespace gatetiller::net
