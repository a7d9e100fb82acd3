#include "net/poll_loop.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <optional>

namespace gatetiller::net {
namespace {

constexpr Micros kAcceptRest = 100 * kMillisecond;  // when no descriptor is left for a new connection
constexpr std::size_t kReadSize = 64 * 1024;
constexpr int kDatagramsATurn = 64;

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

SocketAddress to_kernel(const Address& a) {
    SocketAddress s;
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

Address from_kernel(const sockaddr_storage& storage, const Address& otherwise) {
    Address a = otherwise;
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

Address bound_to(int fd, const Address& asked) {  // with the port that the kernel chose
    sockaddr_storage got{};
    socklen_t size = sizeof got;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&got), &size);
    return from_kernel(got, asked);
}

int open_socket(const Address& a, int type = SOCK_STREAM) {
    const int family = a.family == Address::Family::local  ? AF_UNIX
                       : a.family == Address::Family::ipv6 ? AF_INET6
                                                           : AF_INET;
    return ::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void no_delay(
    int fd) {  // small answers must not wait for an acknowledgement; fails on Unix sockets, harmlessly
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Micros clock_micros(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return static_cast<Micros>(t.tv_sec) * kSecondMicros + t.tv_nsec / 1000;
}

}  // namespace

struct PollLoop::Watched {
    Watched(PollLoop& l, int descriptor) : loop(l), fd(descriptor) {}
    virtual ~Watched() = default;
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;
    virtual void on_ready(short events) = 0;
    void close() {
        if (fd < 0) return;
        loop.forget(*this);
        ::close(fd);
        fd = -1;
    }

    PollLoop& loop;
    int fd;
    std::size_t index = 0;
};

struct PollLoop::Socket final : Watched, std::enable_shared_from_this<Socket> {
    using Watched::Watched;
    ~Socket() override = default;

    void on_ready(short ready) override {
        if (connecting) return finish_connecting();
        if (ready & POLLOUT) write_out();
        if (fd >= 0 && (ready & (POLLIN | POLLHUP | POLLERR))) read_in();
    }
    void finish_connecting() {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return end(Closed::refused);
        connecting = false;
        loop.cancel(connect_timer);
        loop.want(*this, wanted());
        if (owner) owner->on_connected();
        if (fd >= 0 && !out.empty()) write_out();
    }
    void read_in() {
        if (!reading || in.size() >= loop.limits_.input) {
            // A stream that isn't read is still told of a reset. An end in order waits until it is read
            // again, as bytes may stand before it; poll would report it in every turn, so it isn't asked
            // meanwhile.
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) return end(Closed::reset);
            return loop.mute(*this);
        }
        // To the end, where it is there: whoever has gone behind a request must be known to have gone before
        // anything is sent on for it.
        char piece[kReadSize];
        std::optional<Closed> ended;
        std::size_t got = 0;
        while (got < kReadSize && in.size() < loop.limits_.input && !ended) {
            const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
            if (n > 0) {
                in.append(std::string_view(piece, static_cast<std::size_t>(n)));
                got += static_cast<std::size_t>(n);
            } else if (n == 0) {
                ended = was_reset ? Closed::reset : Closed::by_peer;
            } else if (errno == EAGAIN) {
                break;
            } else if (errno != EINTR) {
                ended = Closed::reset;
                was_reset = true;  // the kernel tells it once
            }
        }
        if (got > 0) deliver();
        // An owner that has turned reading off in this hears of the end once it reads again.
        if (ended && fd >= 0 && (reading || got == 0)) end(*ended);
    }
    void deliver() {
        if (finishing) in.clear();
        if (!owner || in.empty()) return;
        owner->on_data(in);
        if (fd >= 0) loop.want(*this, wanted());
    }
    void write_out() {
        while (!out.empty()) {
            const auto bytes = out.view();
            const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n < 0 && errno == EAGAIN) break;
            if (n < 0) {
                // What the peer said before it closed may still be there to be read: it may be the answer.
                broken = true;
                out.clear();
                return loop.want(*this, wanted());
            }
            count_written(static_cast<std::size_t>(n));
        }
        if (finishing && out.empty() && !std::exchange(shut, true)) ::shutdown(fd, SHUT_WR);
        loop.want(*this, wanted());
        if (out.empty() && owner) owner->on_sent();
    }
    void count_written(std::size_t n) {
        out.take(n);
        auto at = pieces.begin();
        for (; at != pieces.end() && n >= at->left; ++at) n -= at->left;
        pieces.erase(pieces.begin(), at);
        if (n > 0) pieces.front().left -= n, pieces.front().begun = true;
    }
    Written written(SendId id) const {
        if (id == 0) return Written::nothing;
        const auto at = piece(id);
        if (at == pieces.end()) return Written::whole;
        return at->begun ? Written::part : Written::nothing;
    }
    bool take_back(SendId id) {
        if (written(id) != Written::nothing) return false;
        if (id == 0) return true;
        const auto at = piece(id);
        std::size_t ahead = 0;
        for (auto before = pieces.cbegin(); before != at; ++before) ahead += before->left;
        if (!broken) out.erase(ahead, at->left);
        pieces.erase(at);
        return true;
    }
    void finish() {
        if (fd < 0 || std::exchange(finishing, true)) return;
        reading = true;
        in.clear();
        write_out();
    }
    short wanted() const {
        if (connecting) return POLLOUT;
        const bool in_room = reading && in.size() < loop.limits_.input;
        return static_cast<short>((in_room ? POLLIN : 0) | (out.empty() ? 0 : POLLOUT));
    }
    void end(Closed how) {
        loop.cancel(connect_timer);
        close();
        if (StreamEvents* told = std::exchange(owner, nullptr)) told->on_closed(how);
    }

    struct Piece {  // what one call of send() gave, as far as the kernel has not taken it
        SendId id;
        std::size_t left;
        bool begun;
    };
    std::vector<Piece>::const_iterator piece(SendId id) const {
        return std::find_if(pieces.begin(), pieces.end(), [&](const Piece& p) { return p.id == id; });
    }

    StreamEvents* owner = nullptr;
    Buffer in, out;
    std::vector<Piece> pieces;  // of `out`, in order; also of what was dropped where the stream broke
    SendId last_send = 0;
    std::string peer;
    bool connecting = false, reading = true, flushing = false, offering = false, broken = false;
    bool was_reset = false, finishing = false, shut = false;
    TimerId connect_timer = 0;
};

class PollLoop::SocketStream final : public Stream {
public:
    explicit SocketStream(std::shared_ptr<Socket> socket) : socket_(std::move(socket)) {}
    ~SocketStream() override {
        socket_->owner = nullptr;
        socket_->loop.cancel(socket_->connect_timer);
        // What was given to send() in this turn goes out as far as the kernel takes it.
        if (socket_->fd >= 0 && !socket_->connecting && !socket_->out.empty()) socket_->write_out();
        socket_->close();
    }
    void events(StreamEvents& to) override { socket_->owner = &to; }
    SendId send(std::string bytes) override {
        if (socket_->fd < 0 || socket_->broken || socket_->finishing || bytes.empty()) return 0;
        socket_->pieces.push_back({++socket_->last_send, bytes.size(), false});
        socket_->out.append(std::move(bytes));
        if (!std::exchange(socket_->flushing, true)) socket_->loop.to_flush_.push_back(socket_);
        return socket_->last_send;
    }
    std::size_t unsent() const override { return socket_->out.size(); }
    Written written(SendId id) const override { return socket_->written(id); }
    bool take_back(SendId id) override { return socket_->take_back(id); }
    void finish() override { socket_->finish(); }
    void read_now() override {
        // The owner may destroy this stream in what it hears.
        if (const auto kept = socket_; kept->fd >= 0 && !kept->connecting && kept->reading) kept->read_in();
    }
    void read(bool on) override {
        if (socket_->reading == on) return;
        socket_->reading = on;
        if (socket_->fd >= 0) socket_->loop.want(*socket_, socket_->wanted());
    }
    void offer() override {
        if (socket_->in.empty() || std::exchange(socket_->offering, true)) return;
        socket_->loop.to_offer_.push_back(socket_);
    }
    const std::string& peer() const override { return socket_->peer; }

private:
    std::shared_ptr<Socket> socket_;
};

struct PollLoop::Door final : Watched {
    using Watched::Watched;
    void on_ready(short) override {
        for (int i = 0; i < loop.limits_.accepts && fd >= 0 && accepting; ++i)
            if (!accept_one()) return;
        if (accepting) loop.behind_ = true;  // more may wait, since as long ago
    }
    bool accept_one() {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        int got = -1;
        do {
            got = ::accept4(fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            // A connection that its peer has reset in the backlog is no reason to leave the others there.
        } while (got < 0 && (errno == ECONNABORTED || errno == EINTR));
        if (got < 0) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) rest();
            return false;
        }
        no_delay(got);
        auto socket = std::make_shared<Socket>(loop, got);
        socket->peer =
            address.family == Address::Family::local ? address.text() : from_kernel(from, address).text();
        loop.watch(socket, POLLIN);
        accepted(std::make_unique<SocketStream>(socket));
        // What was sent along with the connection is there as a rule, and waited as long as it did.
        if (socket->fd >= 0 && socket->owner) socket->read_in();
        return true;
    }
    void rest() {
        loop.want(*this, 0);
        resting = loop.after(kAcceptRest, [this] { loop.want(*this, accepting ? POLLIN : 0); });
    }

    Address address;
    std::function<void(std::unique_ptr<Stream>)> accepted;
    TimerId resting = 0;
    bool accepting = true;
};

class PollLoop::DoorListener final : public Listener {
public:
    explicit DoorListener(std::shared_ptr<Door> door) : door_(std::move(door)) {}
    ~DoorListener() override {
        door_->loop.cancel(door_->resting);
        if (door_->address.family == Address::Family::local && door_->fd >= 0)
            ::unlink(door_->address.host.c_str());
        door_->close();
    }
    const Address& address() const override { return door_->address; }
    void accept(bool on) override {
        door_->accepting = on;
        if (door_->fd >= 0) door_->loop.want(*door_, on ? POLLIN : 0);
    }
    void accept_waiting(std::size_t most) override {
        const auto kept = door_;  // the owner may destroy this listener in what it hears
        while (most-- > 0 && kept->fd >= 0 && kept->accept_one()) {}
    }

private:
    std::shared_ptr<Door> door_;
};

struct PollLoop::Post final : Watched {
    using Watched::Watched;
    void on_ready(short) override {
        char piece[kReadSize];
        const std::weak_ptr<char> here = alive;
        for (int i = 0; i < kDatagramsATurn; ++i) {
            sockaddr_storage from{};
            socklen_t size = sizeof from;
            const ssize_t n =
                ::recvfrom(fd, piece, sizeof piece, 0, reinterpret_cast<sockaddr*>(&from), &size);
            if (n < 0) return;
            received(from_kernel(from, address), std::string_view(piece, static_cast<std::size_t>(n)));
            if (here.expired() || fd < 0) return;
        }
    }

    Address address;
    Datagrams::Received received;
    std::shared_ptr<char> alive = std::make_shared<char>();
};

class PollLoop::PostDatagrams final : public Datagrams {
public:
    explicit PostDatagrams(std::shared_ptr<Post> post) : post_(std::move(post)) {}
    ~PostDatagrams() override { post_->close(); }
    void send(const Address& to, std::string_view bytes) override {
        auto kernel = to_kernel(to);
        ::sendto(post_->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, kernel.get(), kernel.size);
    }
    const Address& address() const override { return post_->address; }

private:
    std::shared_ptr<Post> post_;
};

struct PollLoop::Signals final : Watched {
    using Watched::Watched;
    void on_ready(short) override {
        signalfd_siginfo info{};
        while (fd >= 0 && ::read(fd, &info, sizeof info) == sizeof info)
            then(static_cast<int>(info.ssi_signo));
    }
    std::function<void(int)> then;
};

PollLoop::PollLoop() : PollLoop(Limits{}) {}

PollLoop::PollLoop(Limits limits) : limits_(limits) { refresh(); }

PollLoop::~PollLoop() {
    while (!watched_.empty()) std::shared_ptr(watched_.back())->close();
}

void PollLoop::refresh() { now_ = std::max(now_, clock_micros(CLOCK_MONOTONIC)); }

Micros PollLoop::wall() const { return clock_micros(CLOCK_REALTIME); }

TimerId PollLoop::after(Micros delay, std::function<void()> call) {
    const TimerId id = ++last_timer_;
    const Micros due = now_ + std::max<Micros>(delay, 0);
    due_.emplace(due, id);
    timers_.emplace(id, std::pair(due, std::move(call)));
    return id;
}

void PollLoop::cancel(TimerId timer) {
    const auto found = timers_.find(timer);
    if (found == timers_.end()) return;
    due_.erase({found->second.first, timer});
    timers_.erase(found);
}

void PollLoop::watch(std::shared_ptr<Watched> what, short events) {
    what->index = watched_.size();
    polled_.push_back({what->fd, events, 0});
    watched_.push_back(std::move(what));
}

void PollLoop::forget(Watched& what) {
    const std::size_t at = what.index;
    std::swap(polled_[at], polled_.back());
    std::swap(watched_[at], watched_.back());
    watched_[at]->index = at;
    polled_.pop_back();
    const auto kept = std::move(watched_.back());  // may be the last holder: destroyed when this returns
    watched_.pop_back();
}

void PollLoop::want(Watched& what, short events) {
    if (what.fd < 0) return;
    polled_[what.index].fd = what.fd;
    polled_[what.index].events = events;
}

void PollLoop::mute(Watched& what) { polled_[what.index].fd = -1; }  // until want() is called again

Result<std::unique_ptr<Listener>> PollLoop::listen(const Address& at,
                                                   std::function<void(std::unique_ptr<Stream>)> accepted) {
    const auto failed = [&](const char* what, int fd) {
        const std::string text = "cannot listen on " + at.text() + ": " + what + ": " + std::strerror(errno);
        if (fd >= 0) ::close(fd);
        return Error{text};
    };
    const int fd = open_socket(at);
    if (fd < 0) return failed("socket", fd);
    auto to = to_kernel(at);
    if (at.family == Address::Family::local) {
        // A socket file left by a killed process is taken over; one that is answered belongs to somebody.
        const int probe = open_socket(at);
        const bool dead = probe >= 0 && ::connect(probe, to.get(), to.size) != 0 && errno == ECONNREFUSED;
        if (probe >= 0) ::close(probe);
        struct stat info {};
        if (dead && ::lstat(at.host.c_str(), &info) == 0 && S_ISSOCK(info.st_mode)) ::unlink(at.host.c_str());
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (at.family == Address::Family::ipv6) setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
    if (::bind(fd, to.get(), to.size) != 0) return failed("bind", fd);
    if (::listen(fd, 4096) != 0) return failed("listen", fd);
    auto door = std::make_shared<Door>(*this, fd);
    door->address = bound_to(fd, at);
    door->accepted = std::move(accepted);
    watch(door, POLLIN);
    return std::unique_ptr<Listener>(std::make_unique<DoorListener>(std::move(door)));
}

std::unique_ptr<Stream> PollLoop::connect(const Address& to, StreamEvents& events, Micros time_out) {
    const int fd = open_socket(to);
    auto socket = std::make_shared<Socket>(*this, fd);
    socket->owner = &events;
    socket->peer = to.text();
    const std::weak_ptr<Socket> weak = socket;
    const auto end_later = [&](Micros delay, Closed how) {
        socket->connect_timer = after(delay, [weak, how] {
            if (const auto s = weak.lock(); s && s->owner) s->end(how);
        });
    };
    if (fd < 0) {
        end_later(0, Closed::refused);
        return std::make_unique<SocketStream>(std::move(socket));
    }
    if (to.family != Address::Family::local) no_delay(fd);
    auto kernel = to_kernel(to);
    socket->connecting = true;
    watch(socket, POLLOUT);
    const int said = ::connect(fd, kernel.get(), kernel.size);
    if (said != 0 && errno != EINPROGRESS) end_later(0, Closed::refused);
    else end_later(time_out, Closed::too_late);
    return std::make_unique<SocketStream>(std::move(socket));
}

Result<std::unique_ptr<Datagrams>> PollLoop::datagrams(const Address& at, Datagrams::Received received) {
    const int fd = open_socket(at, SOCK_DGRAM);
    auto kernel = to_kernel(at);
    if (fd < 0 || ::bind(fd, kernel.get(), kernel.size) != 0) {
        const std::string text = "cannot receive datagrams on " + at.text() + ": " + std::strerror(errno);
        if (fd >= 0) ::close(fd);
        return Error{text};
    }
    auto post = std::make_shared<Post>(*this, fd);
    post->address = bound_to(fd, at);
    post->received = std::move(received);
    watch(post, POLLIN);
    return std::unique_ptr<Datagrams>(std::make_unique<PostDatagrams>(std::move(post)));
}

void PollLoop::on_signals(const std::vector<int>& signals, std::function<void(int)> then) {
    sigset_t set;
    sigemptyset(&set);
    for (const int s : signals) sigaddset(&set, s);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    auto watched = std::make_shared<Signals>(*this, ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    watched->then = std::move(then);
    if (watched->fd >= 0) watch(watched, POLLIN);
}

void PollLoop::flush() {
    // Callbacks of a flush may send more: that goes out in the next turn.
    for (const auto& socket : std::exchange(to_flush_, {})) {
        socket->flushing = false;
        if (socket->fd >= 0 && !socket->connecting && !socket->out.empty()) socket->write_out();
    }
}

void PollLoop::ring() {
    // Only those due when the turn began: a timer of no delay that sets itself again must not hold up the
    // loop.
    const TimerId newest = last_timer_;
    while (!due_.empty() && due_.begin()->first <= now_ && due_.begin()->second <= newest) {
        const TimerId id = due_.begin()->second;
        due_.erase(due_.begin());
        auto call = std::move(timers_.extract(id).mapped().second);
        call();
    }
}

void PollLoop::turn(Micros longest) {
    const Micros before = now_;
    // What was left over from the last turn may take back what waits to go out.
    for (const auto& socket : std::exchange(to_offer_, {})) {
        socket->offering = false;
        if (socket->fd >= 0) socket->deliver();
    }
    flush();
    Micros wait = to_flush_.empty() && to_offer_.empty() ? longest : 0;
    refresh();
    if (!due_.empty()) wait = std::min(wait, std::max<Micros>(0, due_.begin()->first - now_));
    const timespec limit{wait / kSecondMicros, wait % kSecondMicros * 1000};
    const Micros asked = now_;
    const int n = ::ppoll(polled_.data(), polled_.size(), &limit, nullptr);
    refresh();
    // The last turn's work, and what the wait took longer than it should have.
    const Micros carried = std::exchange(behind_, false) ? unseen_ : 0;
    unseen_ = carried + asked - before + std::max<Micros>(0, now_ - asked - wait);
    if (n > 0) {
        ready_.reserve(static_cast<std::size_t>(n));
        for (std::size_t i = 0, left = static_cast<std::size_t>(n); i < polled_.size() && left > 0; ++i)
            if (polled_[i].revents != 0) ready_.emplace_back(watched_[i], polled_[i].revents), --left;
    }
    // What has come is heard before any timer rings: after a stall of this process, an answer that is already
    // there must not lose against its time-out.
    auto ready = std::exchange(ready_, {});
    for (const auto& [what, events] : ready)
        if (what->fd >= 0) what->on_ready(events);
    ready.clear();
    ready_ = std::move(ready);  // keeps its memory
    ring();
}

void PollLoop::run() {
    stopping_ = false;
    while (!stopping_) turn(kSecondMicros);
    flush();
}

}  // namespace gatetiller::net
