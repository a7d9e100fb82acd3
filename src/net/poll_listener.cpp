// Listeners, datagram sockets and the descriptor of signals of PollLoop.
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

constexpr Micros kAcceptRest = 100 * kMillisecond;  // when no descriptor is left for a new connection
constexpr Micros kReceiveRest = 5 * kMillisecond;   // when the kernel lacks memory for a datagram
constexpr int kBacklog = 4096;
constexpr int kDatagramsATurn = 64;
constexpr int kFailedAccepts = 64;  // connections in a row that failed before they were accepted
constexpr std::size_t kDatagramSize =
    1024 * 1024;  // over what IP carries; a platform's own transport may carry more

Error system_failure(const std::string& what, const Address& at, int fd) {
    const int code = errno;
    if (fd >= 0)
        ::close(fd);
    return Error{what + " " + at.text() + ": " + std::strerror(code), code};
}

}  // namespace

// ---- Listeners

void PollLoop::ListeningSocket::on_ready(short) {
    for (int i = 0; i < loop.limits_.accepts && fd >= 0 && accepting; ++i)
        if (accept_one() != Took::one)
            return;
    if (accepting)
        loop.behind_ = true;  // more may wait, since as long ago
}

PollLoop::ListeningSocket::Took PollLoop::ListeningSocket::accept_one() {
    sockaddr_storage from{};
    int got = -1;
    for (int failed = 0; got < 0; ++failed) {
        socklen_t size = sizeof from;
        got = ::accept4(fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got >= 0)
            break;
        const auto error = accept_error(errno);
        if (error == AcceptError::of_one_connection && failed < kFailedAccepts)
            continue;
        if (error == AcceptError::none_waits) {
            starved_since = 0;
            return Took::none;
        }
        if (starved_since == 0)
            starved_since = loop.now() - loop.input_delay();
        pause(kAcceptRest);
        return Took::not_now;
    }
    set_no_delay(got);
    auto socket = std::make_shared<Socket>(loop, got);
    socket->peer =
        address.family == Address::Family::local ? address.text() : from_kernel(from, address).text();
    socket->starved_since = starved_since;
    socket->watch();
    accepted(std::make_unique<SocketStream>(socket));
    // What was sent along with the connection is there as a rule, and waited as long as it did.
    if (socket->fd >= 0 && socket->owner)
        socket->read_in();
    return Took::one;
}

bool PollLoop::ListeningSocket::somebody_waits() const {
    pollfd waiting{fd, POLLIN, 0};
    return ::poll(&waiting, 1, 0) != 0;  // in doubt, somebody does
}

namespace {

// A socket file left by a killed process is taken over; one that is answered belongs to somebody.
void remove_dead_socket_file(const Address& at) {
    auto to = to_kernel(at);
    const int probe = open_socket(at);
    const bool dead = probe >= 0 && ::connect(probe, to.get(), to.size) != 0 && errno == ECONNREFUSED;
    if (probe >= 0)
        ::close(probe);
    struct stat info {};
    if (dead && ::lstat(at.host.c_str(), &info) == 0 && S_ISSOCK(info.st_mode))
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
    bool accept_pending(std::size_t most) override {
        const auto kept = socket_;  // the owner may destroy this listener in what it hears
        while (most-- > 0 && kept->fd >= 0 && kept->accept_one() == ListeningSocket::Took::one) {}
        return kept->fd < 0 || !kept->somebody_waits();
    }

private:
    std::shared_ptr<ListeningSocket> socket_;
};

Result<std::unique_ptr<Listener>> PollLoop::listen(const Address& at,
                                                   std::function<void(std::unique_ptr<Stream>)> accepted) {
    const auto failed = [&](int fd) {
        return system_failure("cannot listen on", at, fd);
    };
    if (at.family == Address::Family::local)
        remove_dead_socket_file(at);
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
        buffer = std::make_unique_for_overwrite<char[]>(kDatagramSize);  // what is not used stays untouched
    const std::weak_ptr<char> here = alive;
    for (int i = 0; i < kDatagramsATurn; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const ssize_t n =
            ::recvfrom(fd, buffer.get(), kDatagramSize, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0 && transfer_error(errno) == TransferError::lacks_memory)
            pause(kReceiveRest);
        if (n < 0)
            return;
        received(from_kernel(from, address), std::string_view(buffer.get(), static_cast<std::size_t>(n)));
        if (here.expired() || fd < 0)
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
        return system_failure("cannot receive datagrams on", at, fd);
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
        then(static_cast<int>(info.ssi_signo));
}

namespace {

sigset_t set_of(const std::vector<int>& signals) {
    sigset_t set;
    sigemptyset(&set);
    for (const int s : signals)
        sigaddset(&set, s);
    return set;
}

}  // namespace

void block_signals(const std::vector<int>& signals) {
    const sigset_t set = set_of(signals);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

Result<bool> PollLoop::on_signals(const std::vector<int>& signals, std::function<void(int)> then) {
    block_signals(signals);
    const sigset_t set = set_of(signals);
    const int fd = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) {
        const int code = errno;
        return Error{std::string("cannot receive signals: ") + std::strerror(code), code};
    }
    auto watched = std::make_shared<SignalDescriptor>(*this, fd);
    watched->then = std::move(then);
    watched->watch();
    return true;
}

}  // namespace gatetiller::net
