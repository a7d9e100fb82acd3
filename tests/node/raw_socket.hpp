// Plain sockets for peer behavior that the stand-ins do not have.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.hpp"

namespace gatetiller::testing {

// A non-blocking TCP socket.
class RawSocket {
public:
    explicit RawSocket(int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) : fd_(fd) {}
    ~RawSocket() {
        close();
    }
    RawSocket(const RawSocket&) = delete;
    RawSocket& operator=(const RawSocket&) = delete;
    static sockaddr_in to_sockaddr(const net::Address& to) {
        sockaddr_in in{};
        in.sin_family = AF_INET, in.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &in.sin_addr);
        return in;
    }
    void connect(const net::Address& to) {
        auto in = to_sockaddr(to);
        ::connect(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in);
    }
    net::Address listen(int backlog) {
        auto in = to_sockaddr(*net::Address::parse("127.0.0.1:0"));
        EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in), 0);
        EXPECT_EQ(::listen(fd_, backlog), 0);
        socklen_t size = sizeof in;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&in), &size);
        return {net::Address::Family::ipv4, "127.0.0.1", ntohs(in.sin_port)};
    }
    std::unique_ptr<RawSocket> accept() {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        return fd < 0 ? nullptr : std::make_unique<RawSocket>(fd);
    }
    bool connected() const {
        pollfd p{fd_, POLLOUT, 0};
        return ::poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0 && (p.revents & (POLLERR | POLLHUP)) == 0;
    }
    void send(std::string_view bytes) {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    // Sends what the kernel accepts, and returns how much that is.
    std::size_t send_some(std::string_view bytes) {
        const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }
    // Appends the available bytes to `received`. Returns false once the peer has closed the connection;
    // `reset` is then whether by a reset.
    bool read() {
        char buffer[65536];
        for (;;) {
            const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
            if (n > 0) {
                received.append(buffer, static_cast<std::size_t>(n));
                continue;
            }
            reset = n < 0 && errno != EAGAIN;
            return n < 0 && errno == EAGAIN;
        }
    }
    void shrink_receive_buffer() {
        const int size = 4096;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

    std::string received;
    bool reset = false;

private:
    int fd_;
};

// An engine whose machine accepts no connection until let_in(): connection attempts wait.
class NonAcceptingEngine {
public:
    NonAcceptingEngine() : address(listener_.listen(0)) {
        filler_.connect(address);
    }
    bool backlog_full() const {
        return filler_.connected();
    }
    void free_backlog() {
        EXPECT_TRUE(listener_.accept());
    }
    std::unique_ptr<RawSocket> accept() {
        return listener_.accept();
    }

private:
    RawSocket listener_, filler_;

public:
    net::Address address;
};

}  // namespace gatetiller::testing
