#include "soak/fault_proxy.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <set>

#include "base/text.hpp"
#include "decide/engine_exchange.hpp"
#include "net/kernel_address.hpp"
#include "resp/resp.hpp"

namespace gatetiller::soak {
namespace {

constexpr std::size_t kPiece = 16 * 1024;
constexpr std::size_t kBufferMost = 256 * 1024;
constexpr std::size_t kTrickle = 3;
constexpr Micros kTurn = 2 * kMillisecond;
constexpr Micros kHeldTail =
    50 * kMillisecond;  // within which what had been held is read, or taken from the backlog
const resp::Limits kMessage{4, 64 * 1024};

Micros now_micros() {
    timespec t{};
    ::clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<Micros>(t.tv_sec) * kSecondMicros + t.tv_nsec / 1000;
}

void reset_and_close(int& fd) {
    if (fd < 0)
        return;
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(fd, -1));
}

void close_descriptor(int& fd) {
    if (fd >= 0)
        ::close(std::exchange(fd, -1));
}

}  // namespace

struct FaultProxy::Link {
    LinkId id = 0;
    bool engine = false, closed = false;
    net::Address target;
    int listener = -1;
    int kept_port = -1;  // bound and not listening, once it is closed: nodes that still know the port must
                         // not meet another link
    LinkFaults faults;
    Micros held_since = 0, held_until = 0;  // when it last was held, and the time after it
    std::vector<int> backlog;  // connections of ours that fill the listen backlog while it is late
    net::Address address;
};

struct FaultProxy::Pair {
    Link* link = nullptr;
    int front = -1, target = -1;  // front: whoever connected
    std::string to_target, to_front;
    bool front_ended = false, target_ended = false, front_told = false, target_told = false;
    bool connecting = true, dead = false, over = false;  // dead: half-open
    std::string said_by_front, said_by_engine;           // not yet whole messages
    std::set<std::string> open;                          // requests
};

FaultProxy::FaultProxy(std::uint64_t seed)
    : random_(seed), thread_([this] {
          run();
      }) {}

FaultProxy::~FaultProxy() {
    stopping_ = true;
    thread_.join();
    for (auto& pair : pairs_)
        close_descriptor(pair->front), close_descriptor(pair->target);
    for (auto& link : links_) {
        close_descriptor(link->listener);
        close_descriptor(link->kept_port);
        for (int& fd : link->backlog)
            close_descriptor(fd);
    }
}

Result<net::Address> FaultProxy::open(const net::Address& target, bool engine, LinkId& id) {
    const std::lock_guard lock(mutex_);
    auto link = std::make_unique<Link>();
    const auto any = *net::Address::parse("127.0.0.1:0");
    link->listener = net::open_socket(any);
    auto kernel = net::to_kernel(any);
    if (link->listener < 0 || ::bind(link->listener, kernel.get(), kernel.size) != 0 ||
        ::listen(link->listener, 512) != 0)
        return Error{std::string("proxy: ") + std::strerror(errno), errno};
    link->address = net::bound_address(link->listener, any);
    link->engine = engine, link->target = target;
    id = link->id = links_.size();
    links_.push_back(std::move(link));
    return links_.back()->address;
}

void FaultProxy::aim(LinkId link, const net::Address& target) {
    const std::lock_guard lock(mutex_);
    links_[link]->target = target;
}

void FaultProxy::set(LinkId id, const LinkFaults& faults) {
    const std::lock_guard lock(mutex_);
    Link& link = *links_[id];
    if (link.closed)
        return;
    if (faults.half_open && !link.faults.half_open)
        for (auto& pair : pairs_)
            if (pair->link == &link)
                pair->dead = true;
    // Where one has been held while connecting, the client's side may be up long before ours.
    const auto holds = [](const LinkFaults& f) {
        return f.held || f.late;
    };
    if (holds(faults) && !holds(link.faults))
        link.held_since = now_micros();
    // Later connections, as at a second SYN, are up at both ends at once: what comes over them was not held.
    if (holds(link.faults) && !holds(faults))
        link.held_until = now_micros() + kHeldTail;
    if (faults.late && !link.faults.late)
        fill_backlog(link);
    if (!faults.late && link.faults.late) {
        for (int& fd : link.backlog)
            close_descriptor(fd);
        link.backlog.clear();
        ::listen(link.listener, 512);
    }
    link.faults = faults;
}

// The kernel lets nobody in while the listen backlog is full of connections that nobody accepts.
void FaultProxy::fill_backlog(Link& link) {
    ::listen(link.listener, 0);
    auto to = net::to_kernel(link.address);
    for (int i = 0; i < 2; ++i) {
        const int fd = net::open_socket(link.address);
        if (fd < 0)
            return;
        (void)::connect(fd, to.get(), to.size);
        link.backlog.push_back(fd);
    }
}

void FaultProxy::reset(LinkId link) {
    const std::lock_guard lock(mutex_);
    for (auto& pair : pairs_)
        if (pair->link->id == link && !pair->over)
            ++resets_, end(*pair, true);
}

void FaultProxy::close(LinkId link) {
    reset(link);
    const std::lock_guard lock(mutex_);
    Link& closed = *links_[link];
    closed.closed = true;
    close_descriptor(closed.listener);
    closed.kept_port = net::open_socket(closed.address);
    const int on = 1;
    ::setsockopt(closed.kept_port, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto kernel = net::to_kernel(closed.address);
    (void)::bind(closed.kept_port, kernel.get(), kernel.size);
}

std::vector<PassedMessage> FaultProxy::take_messages() {
    const std::lock_guard lock(mutex_);
    return std::exchange(messages_, {});
}

void FaultProxy::run() {
    while (!stopping_)
        turn();
}

// One look at everything: descriptors are polled with the lock released.
void FaultProxy::turn() {
    std::vector<pollfd> polled;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& link : links_)
            if (link->listener >= 0 && !link->faults.late)
                polled.push_back({link->listener, POLLIN, 0});
        for (const auto& pair : pairs_) {
            if (pair->link->faults.held || pair->link->faults.trickle)
                continue;
            if (pair->front >= 0 && !pair->front_ended && pair->to_target.size() < kBufferMost)
                polled.push_back({pair->front, POLLIN, 0});
            if (pair->dead)
                continue;
            if (pair->target >= 0 && !pair->connecting && !pair->target_ended &&
                pair->to_front.size() < kBufferMost)
                polled.push_back({pair->target, POLLIN, 0});
            if (pair->connecting && pair->target >= 0)
                polled.push_back({pair->target, POLLOUT, 0});
        }
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(kTurn / kMillisecond));
    const std::lock_guard lock(mutex_);
    for (const auto& link : links_)
        if (link->listener >= 0 && !link->faults.late)
            accept_on(*link);
    for (std::size_t i = 0; i < pairs_.size(); ++i)
        forward(*pairs_[i]);
    std::erase_if(pairs_, [](const auto& pair) {
        return pair->over;
    });
}

void FaultProxy::accept_on(Link& link) {
    for (;;) {
        const int fd = ::accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        ++connections_;
        net::set_no_delay(fd);
        auto pair = std::make_unique<Pair>();
        pair->link = &link, pair->front = fd;
        pair->target = net::open_socket(link.target);
        auto to = net::to_kernel(link.target);
        if (pair->target < 0 || (::connect(pair->target, to.get(), to.size) != 0 && errno != EINPROGRESS)) {
            end(*pair, true);
            continue;
        }
        net::set_no_delay(pair->target);
        pairs_.push_back(std::move(pair));
    }
}

void FaultProxy::forward(Pair& pair) {
    const LinkFaults& faults = pair.link->faults;
    if (pair.over || faults.held)
        return;
    read_side(pair, true);
    if (pair.over)
        return;
    if (pair.dead)
        return pair.to_target.clear();  // what its front says is heard here and goes nowhere
    if (pair.connecting) {
        pollfd up{pair.target, POLLOUT, 0};
        if (::poll(&up, 1, 0) != 1)
            return;
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(pair.target, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            return end(pair, true);
        pair.connecting = false;
    }
    read_side(pair, false);
    if (!pair.over)
        (void)(pass(pair, true) && pass(pair, false));
    if (pair.over)
        return;
    // An end in order follows what was said before it.
    if (pair.front_ended && pair.to_target.empty() && !std::exchange(pair.target_told, true))
        ::shutdown(pair.target, SHUT_WR);
    if (pair.target_ended && pair.to_front.empty() && !std::exchange(pair.front_told, true))
        ::shutdown(pair.front, SHUT_WR);
    if (pair.front_told && pair.target_told)
        end(pair, false);
}

void FaultProxy::read_side(Pair& pair, bool from_front) {
    int& fd = from_front ? pair.front : pair.target;
    bool& ended = from_front ? pair.front_ended : pair.target_ended;
    std::string& into = from_front ? pair.to_target : pair.to_front;
    char piece[kPiece];
    while (!ended && into.size() < kBufferMost) {
        const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
        if (n > 0) {
            into.append(piece, static_cast<std::size_t>(n));
            if (from_front)
                note_front_said(pair, {piece, static_cast<std::size_t>(n)});
        } else if (n == 0) {
            ended = true;
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR) {
            return end(pair, true);
        }
    }
    // Whoever has ended takes nothing back: its requests are over.
    if (from_front && ended && pair.link->engine)
        for (const auto& request : std::exchange(pair.open, {}))
            record(pair, "connection_ended", request);
}

// False: the pair is over.
bool FaultProxy::pass(Pair& pair, bool to_target) {
    std::string& from = to_target ? pair.to_target : pair.to_front;
    const int fd = to_target ? pair.target : pair.front;
    const LinkFaults& faults = pair.link->faults;
    while (!from.empty()) {
        std::size_t size = faults.trickle ? std::min(from.size(), kTrickle) : from.size();
        const bool breaks = faults.reset > 0 && random_.chance(faults.reset);
        if (breaks)
            size = random_.below(size + 1);  // before, inside or behind
        const ssize_t n = size == 0 ? 0 : ::send(fd, from.data(), size, MSG_NOSIGNAL);
        if (n < 0 && errno == EAGAIN)
            return true;
        if (n < 0)
            return end(pair, true), false;
        if (!to_target)
            note_engine_said(pair, std::string_view(from).substr(0, static_cast<std::size_t>(n)));
        from.erase(0, static_cast<std::size_t>(n));
        if (breaks) {
            ++resets_;
            return end(pair, true), false;
        }
        if (faults.trickle)
            return true;
    }
    return true;
}

void FaultProxy::end(Pair& pair, bool with_reset) {
    if (std::exchange(pair.over, true))
        return;
    if (with_reset)
        reset_and_close(pair.front), reset_and_close(pair.target);
    else
        close_descriptor(pair.front), close_descriptor(pair.target);
    if (!pair.link->engine)
        return;
    for (const auto& request : std::exchange(pair.open, {}))
        record(pair, "connection_ended", request);
}

// ---- What passes between front nodes and engines

void FaultProxy::record(const Pair& pair, const char* event, const std::string& request, std::int64_t ms) {
    PassedMessage m;
    m.at = now_micros(), m.link = pair.link->id, m.event = event, m.request = request, m.ms = ms;
    if (m.at < pair.link->held_until || pair.link->faults.late || pair.link->faults.held)
        m.held_since = pair.link->held_since;
    messages_.push_back(std::move(m));
}

namespace {

// Calls `take` with the words of each whole message of `said`, and takes it off.
template <typename Take>
void take_messages_of(std::string& said, Take take) {
    std::vector<std::string_view> words;
    std::size_t size = 0;
    while (resp::read_array(said, kMessage, words, size) == resp::ParseStatus::complete) {
        take(words);
        said.erase(0, size);
    }
}

}  // namespace

void FaultProxy::note_front_said(Pair& pair, std::string_view bytes) {
    if (!pair.link->engine)
        return;
    pair.said_by_front.append(bytes);
    take_messages_of(pair.said_by_front, [&](const std::vector<std::string_view>& words) {
        const std::string id(words.size() > 1 ? words[1] : "");
        if (words[0] == "do" && words.size() == 4) {
            decide::ResponseFields fields;
            (void)fields.parse(words[2]);
            record(pair, "arrived", id, to_number<std::int64_t>(fields.find("ms").value_or("")).value_or(0));
            pair.open.insert(id);
        } else if (words[0] == "undo" && pair.open.erase(id) > 0) {
            record(pair, "undone", id);
        }
    });
}

void FaultProxy::note_engine_said(Pair& pair, std::string_view bytes) {
    if (!pair.link->engine)
        return;
    pair.said_by_engine.append(bytes);
    take_messages_of(pair.said_by_engine, [&](const std::vector<std::string_view>& words) {
        const std::string id(words[0]);
        const auto word = words.size() > 1 ? words[1] : std::string_view();
        const char* const event = word == "HIT"     ? "hit"
                                  : word == "SHED"  ? "shed"
                                  : word == "FAULT" ? "fault"
                                  : word == "LATE"  ? "late"
                                                    : nullptr;
        if (event && pair.open.erase(id) > 0)
            record(pair, event, id);
    });
}

}  // namespace gatetiller::soak
