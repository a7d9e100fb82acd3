#include "net/poll_loop.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <ctime>

#include "net/poll_watched.hpp"

namespace gatetiller::net {
namespace {

constexpr Micros kStall = 20 * kMillisecond;      // between a turn's poll and the sending of what it decided
constexpr Micros kFailedPoll = 5 * kMillisecond;  // between two looks while the kernel can't wait for us
constexpr std::size_t kPartOfPoll = 64;           // descriptors polled at once where all at once fail

Micros clock_micros(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return static_cast<Micros>(t.tv_sec) * kSecondMicros + t.tv_nsec / 1000;
}

timespec span_of(Micros span) {
    return {span / kSecondMicros, span % kSecondMicros * 1000};
}

}  // namespace

void PollLoop::Watched::pause(Micros span) {
    if (fd < 0 || pause_timer != 0)
        return;
    loop.mute(*this);
    const std::weak_ptr<Watched> weak = weak_from_this();
    pause_timer = loop.after(span, [this, weak] {
        const auto kept = weak.lock();
        if (!kept)
            return;
        pause_timer = 0;
        update_wanted();
        on_resumed();
    });
}

void PollLoop::Watched::close() {
    loop.cancel(std::exchange(pause_timer, 0));
    if (fd < 0)
        return;
    loop.forget(*this);
    ::close(fd);
    fd = -1;
}

PollLoop::PollLoop() : PollLoop(Limits{}) {}

PollLoop::PollLoop(Limits limits) : limits_(limits) {
    refresh();
}

PollLoop::~PollLoop() {
    while (!watched_.empty())
        std::shared_ptr(watched_.back())->close();
}

void PollLoop::refresh() {
    now_ = std::max(now_, clock_micros(CLOCK_MONOTONIC));
}

Micros PollLoop::wall() const {
    return clock_micros(CLOCK_REALTIME);
}

// ---- Timers

TimerId PollLoop::after(Micros delay, std::function<void()> call) {
    const TimerId id = ++last_timer_;
    const Micros due = now_ + std::max<Micros>(delay, 0);
    due_.emplace(due, id);
    timers_.emplace(id, std::pair(due, std::move(call)));
    return id;
}

void PollLoop::cancel(TimerId timer) {
    const auto found = timers_.find(timer);
    if (found == timers_.end())
        return;
    due_.erase({found->second.first, timer});
    timers_.erase(found);
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

// ---- The set of descriptors

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
    polled_[what.index].fd = what.fd;
    polled_[what.index].events = events;
}

void PollLoop::mute(Watched& what) {
    polled_[what.index].fd = -1;
}  // until want() is called again

std::unique_ptr<Stream> PollLoop::connect(const Address& to, StreamEvents& events, Micros time_out) {
    auto socket = std::make_shared<Socket>(*this, -1);
    socket->owner = &events;
    socket->peer = to.text();
    socket->connect(to, time_out);
    return std::make_unique<SocketStream>(std::move(socket));
}

// ---- Turns

void PollLoop::flush() {
    // Callbacks of a flush may send more: that goes out in the next turn. So does what is left when the
    // process has stood still in the middle of this: what has come meanwhile is heard first.
    const Micros began = now_;
    const auto sockets = std::exchange(to_flush_, {});
    for (auto at = sockets.begin(); at != sockets.end(); ++at) {
        if (now_ - began >= kStall) {
            to_flush_.insert(to_flush_.begin(), at, sockets.end());
            return;
        }
        Socket& socket = **at;
        socket.flushing = false;
        if (socket.may_write())
            socket.write_out();
        refresh();
    }
}

// After a stall of this process, what it decided before may be overtaken by what has come meanwhile: that is
// heard first. Once in a row, so that a busy loop still sends. The stall may also lie behind the last poll,
// which then knew nothing of what came in it.
bool PollLoop::hear_first(Micros since) {
    const bool stalled = now_ - since >= kStall || last_overrun_ >= kStall;
    if (!stalled || std::exchange(heard_first_, true)) {
        heard_first_ = false;
        return false;
    }
    return true;
}

std::size_t PollLoop::wait(Micros longest) {
    const timespec limit = span_of(longest);
    const int n = ::ppoll(polled_.data(), polled_.size(), &limit, nullptr);
    poll_failed_ = false;
    if (n >= 0)
        return static_cast<std::size_t>(n);
    for (pollfd& p : polled_)
        p.revents = 0;
    return errno == EINTR ? 0 : poll_in_parts(longest);
}

// Where the kernel refuses to poll all at once: it lacks memory, or more is polled than RLIMIT_NOFILE allows.
std::size_t PollLoop::poll_in_parts(Micros longest) {
    std::size_t ready = 0;
    const timespec at_once{};
    for (std::size_t from = 0; from < polled_.size(); from += kPartOfPoll) {
        const std::size_t size = std::min(kPartOfPoll, polled_.size() - from);
        const int n = ::ppoll(polled_.data() + from, size, &at_once, nullptr);
        if (n >= 0) {
            ready += static_cast<std::size_t>(n);
            continue;
        }
        poll_failed_ = true;
        std::for_each_n(polled_.begin() + static_cast<std::ptrdiff_t>(from), size, [](pollfd& p) {
            p.revents = 0;
        });
    }
    if (ready > 0)
        return ready;
    const timespec rest = span_of(std::min(longest, kFailedPoll));
    ::nanosleep(&rest, nullptr);
    return 0;
}

// Counts the last turn's work and what the wait took longer than it should have; in the last turn too, as the
// process may have stood still behind that poll, and then this one is the first to find what came meanwhile.
// Where polls have failed, everything since the first of them.
void PollLoop::reckon_unseen(Micros before, Micros asked, Micros longest_wait) {
    const Micros carried = std::exchange(behind_, false) ? unseen_ : 0;
    const Micros overrun = std::max<Micros>(0, now_ - asked - longest_wait);
    unseen_ = carried + asked - before + overrun + std::exchange(last_overrun_, overrun);
    if (unpolled_since_ > 0)
        unseen_ = std::max(unseen_, now_ - unpolled_since_);
    if (!poll_failed_)
        unpolled_since_ = 0;
    else if (unpolled_since_ == 0)
        unpolled_since_ = now_ - unseen_;
}

void PollLoop::turn(Micros longest) {
    const Micros before = now_;
    // What was left over from the last turn may take back what waits to go out.
    for (const auto& socket : std::exchange(to_offer_, {})) {
        socket->offering = false;
        if (socket->fd >= 0)
            socket->deliver();
    }
    refresh();
    if (!hear_first(before))
        flush();
    refresh();
    Micros longest_wait = to_flush_.empty() && to_offer_.empty() ? longest : 0;
    if (!due_.empty())
        longest_wait = std::min(longest_wait, std::max<Micros>(0, due_.begin()->first - now_));
    const Micros asked = now_;
    const std::size_t n = wait(longest_wait);
    refresh();
    reckon_unseen(before, asked, longest_wait);
    ready_.reserve(n);
    for (std::size_t i = 0, left = n; i < polled_.size() && left > 0; ++i)
        if (polled_[i].revents != 0)
            ready_.emplace_back(watched_[i], polled_[i].revents), --left;
    std::stable_partition(ready_.begin(), ready_.end(), [](const auto& ready) {
        return ready.first->heard_first();
    });
    // What has come is heard before any timer rings: after a stall of this process, an answer that is already
    // there must not lose against its time-out.
    auto ready = std::exchange(ready_, {});
    for (const auto& [what, events] : ready)
        if (what->fd >= 0)
            what->on_ready(events);
    ready.clear();
    ready_ = std::move(ready);  // keeps its memory
    ring();
}

void PollLoop::run() {
    stopping_ = false;
    while (!stopping_)
        turn(kSecondMicros);
    flush();
}

}  // namespace gatetiller::net
