// Listeners, datagram sockets and the signal descriptor of PollLoop.
#include <netinet/in.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>

#include "net/poll_watched.hpp"
#include "net/system_error.hpp"

namespace gatetiller::net {
namespace {

constexpr Micros kAcceptPause =
    100 * kMillisecond;  // after accepting failed, for example for lack of descriptors
constexpr Micros kReceivePause = 5 * kMillisecond;  // after the kernel lacked memory for a datagram
constexpr int kBacklog = 4096;
constexpr int kMaxDatagramsPerTurn = 64;
constexpr int kMaxFailedAccepts = 64;  // consecutive connections that failed before they were accepted
constexpr std::size_t kMaxDatagramSize =
    1024 * 1024;  // exceeds the IP limit; a platform's own transport may carry more

Error system_error(const std::string& what, const Address& at, int fd) {
    const int code = errno;
    if (fd >= 0)
        ::close(fd);
    return Error{what + " " + at.text() + ": " + std::strerror(code), code};
}

}  // namespace

// ---- Listeners

void PollLoop::ListeningSocket::on_ready(short) {
    for (int i = 0; i < loop.limits_.accepts && fd >= 0 && accepting; ++i)
        if (accept_one() != AcceptResult::accepted)
            return;
    if (accepting)
        loop.accepts_pending_ = true;  // more connections may be pending, for as long as these
}

PollLoop::ListeningSocket::AcceptResult PollLoop::ListeningSocket::accept_one() {
    sockaddr_storage from{};
    int accepted_fd = -1;
    for (int failed = 0; accepted_fd < 0; ++failed) {
        socklen_t size = sizeof from;
        accepted_fd = ::accept4(fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted_fd >= 0)
            break;
        const auto error = accept_error(errno);
        if (error == AcceptError::of_one_connection && failed < kMaxFailedAccepts)
            continue;
        if (error == AcceptError::none_pending) {
            lacking_resources_since = 0;
            return AcceptResult::none_pending;
        }
        if (lacking_resources_since == 0)
            lacking_resources_since = loop.now() - loop.input_delay();
        pause(kAcceptPause);
        return AcceptResult::lacks_resources;
    }
    set_no_delay(accepted_fd);
    auto socket = std::make_shared<Socket>(loop, accepted_fd);
    socket->peer =
        address.family == Address::Family::local ? address.text() : from_kernel(from, address).text();
    socket->lacking_resources_since = lacking_resources_since;
    socket->watch();
    accepted(std::make_unique<SocketStream>(socket));
    // The client's first bytes have usually arrived already and have waited as long as the connection.
    if (socket->fd >= 0 && socket->owner)
        socket->receive();
    return AcceptResult::accepted;
}

bool PollLoop::ListeningSocket::has_pending_connections() const {
    pollfd waiting{fd, POLLIN, 0};
    return ::poll(&waiting, 1, 0) != 0;  // on an error, assumes that a connection is pending
}

namespace {

// Removes a socket file left by a killed process. If a connection succeeds, another process is using the
// file.
void remove_stale_socket_file(const Address& at) {
    auto to = to_kernel(at);
    const int probe = open_socket(at);
    const bool stale = probe >= 0 && ::connect(probe, to.get(), to.size) != 0 && errno == ECONNREFUSED;
    if (probe >= 0)
        ::close(probe);
    struct stat info {};
    if (stale && ::lstat(at.host.c_str(), &info) == 0 && S_ISSOCK(info.st_mode))
        ::unlink(at.host.c_str());
}

}  // namespace

class PollLoop::SocketListener final : public Listener {
public:
    explicit SocketListener(std::shared_ptr<ListeningSocket> socket) : socket_(std::move(socket)) {}
    ~SocketListener() override {
        if (socket_->address.family == Address::Family::local && socket_->fd >= 0)
            ::unlink(socket_->address.host.c_str());
        socket_->close();
    }
    const Address& address() const override {
        return socket_->address;
    }
    void accept(bool on) override {
        socket_->accepting = on;
        socket_->update_wanted();
    }
    bool accept_pending(std::size_t max_count) override {
        const auto socket = socket_;  // the owner may destroy this listener in a callback
        while (max_count-- > 0 && socket->fd >= 0 &&
               socket->accept_one() == ListeningSocket::AcceptResult::accepted) {}
        return socket->fd < 0 || !socket->has_pending_connections();
    }

private:
    std::shared_ptr<ListeningSocket> socket_;
};

Result<std::unique_ptr<Listener>> PollLoop::listen(const Address& at,
                                                   std::function<void(std::unique_ptr<Stream>)> accepted) {
    const auto failed = [&](int fd) {
        return system_error("cannot listen on", at, fd);
    };
    if (at.family == Address::Family::local)
        remove_stale_socket_file(at);
    const int fd = open_socket(at);
    if (fd < 0)
        return failed(fd);
    auto to = to_kernel(at);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (at.family == Address::Family::ipv6)
        setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
    if (::bind(fd, to.get(), to.size) != 0)
        return failed(fd);
    if (::listen(fd, kBacklog) != 0)
        return failed(fd);
    auto socket = std::make_shared<ListeningSocket>(*this, fd);
    socket->address = bound_address(fd, at);
    socket->accepted = std::move(accepted);
    socket->watch();
    return std::unique_ptr<Listener>(std::make_unique<SocketListener>(std::move(socket)));
}

// ---- Datagrams

void PollLoop::DatagramSocket::on_ready(short) {
    if (!buffer)
        buffer = std::make_unique_for_overwrite<char[]>(kMaxDatagramSize);  // unused pages are never touched
    const std::weak_ptr<char> weak_alive = alive;
    for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const ssize_t n =
            ::recvfrom(fd, buffer.get(), kMaxDatagramSize, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0 && transfer_error(errno) == TransferError::lacks_memory)
            pause(kReceivePause);
        if (n < 0)
            return;
        received(from_kernel(from, address), std::string_view(buffer.get(), static_cast<std::size_t>(n)));
        if (weak_alive.expired() || fd < 0)
            return;
    }
}

class PollLoop::SocketDatagrams final : public Datagrams {
public:
    explicit SocketDatagrams(std::shared_ptr<DatagramSocket> socket) : socket_(std::move(socket)) {}
    ~SocketDatagrams() override {
        socket_->close();
    }
    void send(const Address& to, std::string_view bytes) override {
        auto kernel = to_kernel(to);
        ::sendto(socket_->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, kernel.get(), kernel.size);
    }
    const Address& address() const override {
        return socket_->address;
    }

private:
    std::shared_ptr<DatagramSocket> socket_;
};

Result<std::unique_ptr<Datagrams>> PollLoop::datagrams(const Address& at, Datagrams::Received received) {
    const int fd = open_socket(at, SOCK_DGRAM);
    auto kernel = to_kernel(at);
    if (fd < 0 || ::bind(fd, kernel.get(), kernel.size) != 0)
        return system_error("cannot receive datagrams on", at, fd);
    auto socket = std::make_shared<DatagramSocket>(*this, fd);
    socket->address = bound_address(fd, at);
    socket->received = std::move(received);
    socket->watch();
    return std::unique_ptr<Datagrams>(std::make_unique<SocketDatagrams>(std::move(socket)));
}

// ---- Signals

void PollLoop::SignalDescriptor::on_ready(short) {
    signalfd_siginfo info{};
    while (fd >= 0 && ::read(fd, &info, sizeof info) == sizeof info)
        handler(static_cast<int>(info.ssi_signo));
}

namespace {

sigset_t signal_set(const std::vector<int>& signals) {
    sigset_t set;
    sigemptyset(&set);
    for (const int s : signals)
        sigaddset(&set, s);
    return set;
}

}  // namespace

void block_signals(const std::vector<int>& signals) {
    const sigset_t set = signal_set(signals);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

Result<bool> PollLoop::on_signals(const std::vector<int>& signals, std::function<void(int)> handler) {
    block_signals(signals);
    const sigset_t set = signal_set(signals);
    const int fd = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) {
        const int code = errno;
        return Error{std::string("cannot receive signals: ") + std::strerror(code), code};
    }
    auto watched = std::make_shared<SignalDescriptor>(*this, fd);
    watched->handler = std::move(handler);
    watched->watch();
    return true;
}

}  // namespace gatetiller::net
