#include "net/poll_loop.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <ctime>

#include "net/poll_watched.hpp"

namespace gatetiller::net {
namespace {

// Delay between a turn's poll and its writes that counts as a stall.
constexpr Micros kStallThreshold = 20 * kMillisecond;
constexpr Micros kPollRetryInterval = 5 * kMillisecond;  // between non-blocking polls while waiting fails
constexpr std::size_t kPollBatch = 64;  // descriptors per poll when polling all of them fails

Micros clock_micros(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return static_cast<Micros>(t.tv_sec) * kSecondMicros + t.tv_nsec / 1000;
}

timespec to_timespec(Micros duration) {
    return {duration / kSecondMicros, duration % kSecondMicros * 1000};
}

}  // namespace

void PollLoop::Watched::pause(Micros duration) {
    if (fd < 0 || pause_timer != 0)
        return;
    loop.stop_polling(*this);
    const std::weak_ptr<Watched> weak = weak_from_this();
    pause_timer = loop.after(duration, [this, weak] {
        const auto self = weak.lock();
        if (!self)
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
    loop.unwatch(*this);
    ::close(fd);
    fd = -1;
}

PollLoop::PollLoop() : PollLoop(Limits{}) {}

PollLoop::PollLoop(Limits limits) : limits_(limits) {
    update_time();
}

PollLoop::~PollLoop() {
    while (!watched_.empty())
        std::shared_ptr(watched_.back())->close();
}

void PollLoop::update_time() {
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

void PollLoop::run_due_timers() {
    // Runs only timers created before this call: a timer without delay that re-arms itself must not block the
    // loop.
    const TimerId newest = last_timer_;
    while (!due_.empty() && due_.begin()->first <= now_ && due_.begin()->second <= newest) {
        const TimerId id = due_.begin()->second;
        due_.erase(due_.begin());
        auto call = std::move(timers_.extract(id).mapped().second);
        call();
    }
}

// ---- Polled descriptors

void PollLoop::watch(std::shared_ptr<Watched> watched, short events) {
    watched->index = watched_.size();
    polled_.push_back({watched->fd, events, 0});
    watched_.push_back(std::move(watched));
}

void PollLoop::unwatch(Watched& watched) {
    const std::size_t at = watched.index;
    std::swap(polled_[at], polled_.back());
    std::swap(watched_[at], watched_.back());
    watched_[at]->index = at;
    polled_.pop_back();
    const auto removed = std::move(watched_.back());  // possibly the last reference: destroyed on return
    watched_.pop_back();
}

void PollLoop::set_events(Watched& watched, short events) {
    polled_[watched.index].fd = watched.fd;
    polled_[watched.index].events = events;
}

// Lasts until set_events() is called again.
void PollLoop::stop_polling(Watched& watched) {
    polled_[watched.index].fd = -1;
}

std::unique_ptr<Stream> PollLoop::connect(const Address& to, StreamEvents& events, Micros time_out) {
    auto socket = std::make_shared<Socket>(*this, -1);
    socket->owner = &events;
    socket->peer = to.text();
    socket->connect(to, time_out);
    return std::make_unique<SocketStream>(std::move(socket));
}

// ---- Turns

void PollLoop::flush() {
    // Bytes sent by callbacks of this flush are written in the next turn. So are the remaining sockets if the
    // process stalls during the flush, so that input received meanwhile is processed first.
    const Micros start = now_;
    const auto sockets = std::exchange(to_flush_, {});
    for (auto at = sockets.begin(); at != sockets.end(); ++at) {
        if (now_ - start >= kStallThreshold) {
            to_flush_.insert(to_flush_.begin(), at, sockets.end());
            return;
        }
        Socket& socket = **at;
        socket.flush_scheduled = false;
        if (socket.can_write())
            socket.write_pending();
        update_time();
    }
}

// Returns whether to process input before writing: after a stall, input received meanwhile may supersede
// earlier decisions. Never true in two consecutive turns, so that a busy loop still writes. Also covers a
// stall after the last poll returned, whose input that poll did not report.
bool PollLoop::must_read_first(Micros turn_start) {
    const bool stalled = now_ - turn_start >= kStallThreshold || last_overrun_ >= kStallThreshold;
    if (!stalled || std::exchange(read_first_, true)) {
        read_first_ = false;
        return false;
    }
    return true;
}

std::size_t PollLoop::wait(Micros max_wait) {
    const timespec limit = to_timespec(max_wait);
    const int n = ::ppoll(polled_.data(), polled_.size(), &limit, nullptr);
    poll_failed_ = false;
    if (n >= 0)
        return static_cast<std::size_t>(n);
    for (pollfd& p : polled_)
        p.revents = 0;
    return errno == EINTR ? 0 : poll_in_batches(max_wait);
}

// Fallback for when the kernel cannot poll all descriptors at once: it lacks memory, or there are more than
// RLIMIT_NOFILE allows.
std::size_t PollLoop::poll_in_batches(Micros max_wait) {
    std::size_t ready = 0;
    const timespec no_wait{};
    for (std::size_t from = 0; from < polled_.size(); from += kPollBatch) {
        const std::size_t size = std::min(kPollBatch, polled_.size() - from);
        const int n = ::ppoll(polled_.data() + from, size, &no_wait, nullptr);
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
    const timespec rest = to_timespec(std::min(max_wait, kPollRetryInterval));
    ::nanosleep(&rest, nullptr);
    return 0;
}

// Computes the input delay: the time from the turn's start to its poll plus the time by which this wait and
// the previous one exceeded their limits. The previous one counts because the process may have stalled after
// that poll returned, and this poll is then the first to report input received meanwhile. After failed polls,
// the delay covers the time since the first of them.
void PollLoop::update_input_delay(Micros turn_start, Micros poll_start, Micros max_wait) {
    const Micros carried = std::exchange(accepts_pending_, false) ? input_delay_ : 0;
    const Micros overrun = std::max<Micros>(0, now_ - poll_start - max_wait);
    input_delay_ = carried + poll_start - turn_start + overrun + std::exchange(last_overrun_, overrun);
    if (unpolled_since_ > 0)
        input_delay_ = std::max(input_delay_, now_ - unpolled_since_);
    if (!poll_failed_)
        unpolled_since_ = 0;
    else if (unpolled_since_ == 0)
        unpolled_since_ = now_ - input_delay_;
}

void PollLoop::turn(Micros max_wait) {
    const Micros turn_start = now_;
    // Input left over from the last turn may cancel pending writes.
    for (const auto& socket : std::exchange(to_deliver_, {})) {
        socket->delivery_scheduled = false;
        if (socket->fd >= 0)
            socket->deliver();
    }
    update_time();
    if (!must_read_first(turn_start))
        flush();
    update_time();
    Micros wait_limit = to_flush_.empty() && to_deliver_.empty() ? max_wait : 0;
    if (!due_.empty())
        wait_limit = std::min(wait_limit, std::max<Micros>(0, due_.begin()->first - now_));
    const Micros poll_start = now_;
    const std::size_t n = wait(wait_limit);
    update_time();
    update_input_delay(turn_start, poll_start, wait_limit);
    ready_.reserve(n);
    for (std::size_t i = 0, left = n; i < polled_.size() && left > 0; ++i)
        if (polled_[i].revents != 0)
            ready_.emplace_back(watched_[i], polled_[i].revents), --left;
    std::stable_partition(ready_.begin(), ready_.end(), [](const auto& ready) {
        return ready.first->has_priority();
    });
    // Input is processed before timers run: after a stall of this process, a response that has already
    // arrived must not lose to its time-out.
    auto ready = std::exchange(ready_, {});
    for (const auto& [watched, events] : ready)
        if (watched->fd >= 0)
            watched->on_ready(events);
    ready.clear();
    ready_ = std::move(ready);  // retains the allocation
    run_due_timers();
}

void PollLoop::run() {
    stopping_ = false;
    while (!stopping_)
        turn(kSecondMicros);
    flush();
}

}  // namespace gatetiller::net
