// Stream sockets of PollLoop.
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "net/poll_watched.hpp"
#include "net/system_error.hpp"

namespace gatetiller::net {
namespace {

constexpr std::size_t kReadSize = 64 * 1024;
constexpr std::size_t kWriteSize = 256 * 1024;       // maximum bytes written per on_sending() call
constexpr Micros kNoBufferPause = 5 * kMillisecond;  // after the kernel or the budget lacked memory
// Entries for sends that a socket keeps allocated while it has fewer.
constexpr std::size_t kRetainedSends = 64;
// Interval between connection attempts while this machine lacks a resource.
constexpr Micros kConnectRetryInterval = 20 * kMillisecond;

int pending_error(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

}  // namespace

// ---- Connecting

void PollLoop::Socket::connect(const Address& to, Micros time_out) {
    destination = to;
    connect_until = loop.now() + time_out;
    connecting = true;
    try_connect();
}

void PollLoop::Socket::try_connect() {
    connect_timer = 0;
    fd = open_socket(destination);
    auto error = fd < 0 ? ConnectError::local : ConnectError::in_progress;
    if (fd >= 0) {
        if (destination.family != Address::Family::local)
            set_no_delay(fd);
        auto kernel = to_kernel(destination);
        if (::connect(fd, kernel.get(), kernel.size) != 0)
            error = connect_error(errno);
    }
    const Micros time_left = std::max<Micros>(0, connect_until - loop.now());
    switch (error) {
        case ConnectError::in_progress:
            watch();
            return end_later(time_left, Closed::connect_timed_out);
        case ConnectError::refused:
            ::close(std::exchange(fd, -1));
            return end_later(0, Closed::refused);
        case ConnectError::local:
            break;
    }
    if (fd >= 0)
        ::close(std::exchange(fd, -1));
    if (time_left == 0)
        return end_later(0, Closed::local);
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(std::min(kConnectRetryInterval, time_left), [this, weak] {
        if (const auto self = weak.lock())
            try_connect();
    });
}

void PollLoop::Socket::finish_connecting() {
    if (pending_error(fd) != 0)
        return end(Closed::refused);
    connecting = false;
    loop.cancel(std::exchange(connect_timer, 0));
    update_wanted();
    if (owner)
        owner->on_connected();
    if (can_write())
        schedule_write();
}

// ---- Reading

void PollLoop::Socket::on_ready(short ready) {
    if (connecting)
        return finish_connecting();
    if ((ready & POLLOUT) && can_write())
        schedule_write();
    if (fd >= 0 && (ready & (POLLIN | POLLHUP | POLLERR)))
        receive();
}

// Returns how many bytes may be buffered for the owner now.
std::size_t PollLoop::Socket::input_limit() const {
    const bool restricted = input_budget && input_budget->exceeded();
    return restricted ? std::min(loop.limits_.input, InputBudget::kAllowanceBytes) : loop.limits_.input;
}

// Reads into `in` until it holds `limit` bytes. Reads up to the end of the stream if available: if the client
// has disconnected after a request, this must be known before anything is forwarded for that request.
PollLoop::Socket::Reading PollLoop::Socket::read_available(std::size_t limit) {
    Reading reading_now;
    auto& [received, all, ended] = reading_now;
    if (in.size() >= limit)
        pause(kNoBufferPause);
    char chunk[kReadSize];
    while (received < kReadSize && in.size() < limit && !ended && !all) {
        const ssize_t n = ::recv(fd, chunk, std::min(sizeof chunk, limit - in.size()), 0);
        if (n > 0) {
            in.append(std::string_view(chunk, static_cast<std::size_t>(n)));
            received += static_cast<std::size_t>(n);
            continue;
        }
        if (n == 0) {
            ended = was_reset ? Closed::reset : Closed::by_peer;
            continue;
        }
        switch (transfer_error(errno)) {
            case TransferError::interrupted:
                break;
            case TransferError::not_ready:
                all = true;
                if (send_failed)
                    ended = Closed::reset;
                break;
            case TransferError::lacks_memory:
                pause(kNoBufferPause);
                all = true;
                break;
            case TransferError::connection_over:
                ended = Closed::reset;
                was_reset = true;  // the kernel reports it only once
                break;
        }
    }
    return reading_now;
}

bool PollLoop::Socket::receive() {
    if (!reading || in.size() >= loop.limits_.input) {
        // A stream with reading disabled is still notified of a reset. An orderly close is reported once
        // reading resumes, as unread bytes may precede it; poll would report it in every turn, so polling
        // stops meanwhile.
        if (pending_error(fd) != 0)
            end(Closed::reset);
        else
            loop.stop_polling(*this);
        return false;
    }
    const auto [received, all, ended] = read_available(input_limit());
    const bool paused = pause_timer != 0;
    // Bytes left unread have waited for as long as the bytes read.
    const bool left_over = paused || (!all && !ended);
    if (left_over && lacking_resources_since == 0)
        lacking_resources_since = loop.now() - loop.input_delay();
    if (received > 0)
        deliver();
    if (!left_over)
        lacking_resources_since = 0;
    // If the owner disabled reading in on_data, the end is reported once it enables reading again.
    if (ended && fd >= 0 && (reading || received == 0))
        end(*ended);
    return (all && !paused) || ended;
}

void PollLoop::Socket::deliver() {
    if (finishing)
        in.clear();
    if (!owner || in.empty())
        return;
    owner->on_data(in);
    in.release_spare_capacity();
    update_wanted();
}

// ---- Writing

void PollLoop::Socket::write_pending() {
    std::size_t announced = 0;  // bytes announced by on_sending()
    while (fd >= 0 && !out.empty()) {
        if (announced == 0) {
            announced = kWriteSize;
            if (owner)
                owner->on_sending(announced);
            continue;  // the owner may have cancelled all of it
        }
        const auto bytes = out.view().substr(0, announced);
        const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n >= 0) {
            count_written(static_cast<std::size_t>(n));
            announced -= static_cast<std::size_t>(n);
            continue;
        }
        const auto error = transfer_error(errno);
        if (error == TransferError::interrupted)
            continue;
        if (error == TransferError::not_ready)
            break;
        if (error == TransferError::lacks_memory)
            return retry_write_later();
        return end_after_reading();
    }
    if (fd < 0)
        return;
    if (finishing && out.empty() && !std::exchange(write_shut_down, true))
        ::shutdown(fd, SHUT_WR);
    update_wanted();
    if (out.empty() && owner)
        owner->on_sent();
}

// Reading continues meanwhile: a request must not wait unread, nor a response lose to its time-out.
void PollLoop::Socket::retry_write_later() {
    if (write_timer == 0) {
        const std::weak_ptr<Watched> weak = weak_from_this();
        write_timer = loop.after(kNoBufferPause, [this, weak] {
            const auto self = weak.lock();
            if (!self)
                return;
            write_timer = 0;
            if (can_write())
                schedule_write();
        });
    }
    update_wanted();
}

void PollLoop::Socket::enqueue(std::string bytes) {
    pending.push_back({++last_send, bytes.size(), false});
    out.append(std::move(bytes));
    schedule_write();
}

// Never writes in the middle of a turn: other input of the same turn may still cancel pending bytes.
void PollLoop::Socket::schedule_write() {
    if (std::exchange(flush_scheduled, true))
        return;
    loop.to_flush_.push_back(std::static_pointer_cast<Socket>(shared_from_this()));
}

// Stops sending and reads the rest: bytes that the peer sent before it closed may include the response. The
// kernel may not report the end again, so a read is scheduled here.
void PollLoop::Socket::end_after_reading() {
    discard_unsent();
    send_failed = true;
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(0, [this, weak] {
        const auto self = weak.lock();
        if (!self || fd < 0 || !owner)
            return;
        connect_timer = 0;
        if (reading)
            receive();
    });
}

void PollLoop::Socket::discard_unsent() {
    broken = true;
    out.clear();
    update_wanted();
}

void PollLoop::Socket::discard() {
    discard_unsent();
    // close() resets the connection and discards the kernel's unsent bytes.
    const linger reset_on_close{1, 0};
    if (fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
}

void PollLoop::Socket::count_written(std::size_t n) {
    out.consume(n);
    out.release_spare_capacity();
    auto at = pending.begin();
    for (; at != pending.end() && n >= at->remaining; ++at)
        n -= at->remaining;
    pending.erase(pending.begin(), at);
    if (pending.capacity() > kRetainedSends && pending.size() < pending.capacity() / 4)
        pending.shrink_to_fit();
    if (n > 0)
        pending.front().remaining -= n, pending.front().started = true;
}

std::vector<PollLoop::Socket::PendingSend>::const_iterator PollLoop::Socket::find_pending(SendId id) const {
    return std::find_if(pending.begin(), pending.end(), [&](const PendingSend& p) {
        return p.id == id;
    });
}

Written PollLoop::Socket::written(SendId id) const {
    if (id == 0)
        return Written::none;
    const auto at = find_pending(id);
    if (at == pending.end())
        return Written::all;
    return at->started ? Written::partial : Written::none;
}

std::optional<std::size_t> PollLoop::Socket::unacknowledged() const {
    int bytes = 0;
    if (fd < 0 || connecting || ::ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return std::nullopt;
    return static_cast<std::size_t>(bytes);
}

bool PollLoop::Socket::cancel_send(SendId id) {
    if (written(id) != Written::none)
        return false;
    if (id == 0)
        return true;
    const auto at = find_pending(id);
    if (!broken)
        out.erase(bytes_before(at), at->remaining);
    pending.erase(at);
    return true;
}

bool PollLoop::Socket::replace(SendId id, const std::string& bytes) {
    if (id == 0 || broken || bytes.empty() || written(id) != Written::none)
        return false;
    const auto at = find_pending(id);
    out.replace(bytes_before(at), at->remaining, bytes);
    pending[static_cast<std::size_t>(at - pending.cbegin())].remaining = bytes.size();
    return true;
}

std::size_t PollLoop::Socket::bytes_before(std::vector<PendingSend>::const_iterator position) const {
    std::size_t bytes = 0;
    for (auto at = pending.cbegin(); at != position; ++at)
        bytes += at->remaining;
    return bytes;
}

void PollLoop::Socket::finish() {
    if (fd < 0 || std::exchange(finishing, true))
        return;
    reading = true;
    in.clear();
    write_pending();
}

// ---- State

short PollLoop::Socket::wanted() const {
    if (connecting)
        return POLLOUT;
    const bool reads = reading && in.size() < loop.limits_.input;
    const bool writes = !out.empty() && write_timer == 0;
    return static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
}

void PollLoop::Socket::on_resumed() {
    if (send_failed && reading)
        receive();
    else if (can_write())
        schedule_write();
}

void PollLoop::Socket::end(Closed how) {
    cancel_timers();
    close();
    if (StreamEvents* receiver = std::exchange(owner, nullptr))
        receiver->on_closed(how);
}

void PollLoop::Socket::cancel_timers() {
    loop.cancel(std::exchange(connect_timer, 0));
    loop.cancel(std::exchange(write_timer, 0));
}

void PollLoop::Socket::end_later(Micros delay, Closed how) {
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(delay, [this, weak, how] {
        if (const auto self = weak.lock(); self && owner)
            end(how);
    });
}

PollLoop::SocketStream::~SocketStream() {
    socket_->owner = nullptr;
    // Writes the bytes of this turn as far as the kernel accepts them.
    if (socket_->can_write())
        socket_->write_pending();
    socket_->cancel_timers();
    socket_->close();
}

SendId PollLoop::SocketStream::send(std::string bytes) {
    const bool ended = socket_->fd < 0 && !socket_->connecting;
    if (ended || socket_->broken || socket_->finishing || bytes.empty())
        return 0;
    socket_->enqueue(std::move(bytes));
    return socket_->last_send;
}

bool PollLoop::SocketStream::read_now() {
    const auto socket = socket_;  // the owner may destroy this stream in a callback
    if (socket->fd < 0 || socket->connecting || !socket->reading)
        return true;
    return socket->receive();
}

void PollLoop::SocketStream::read(bool on) {
    if (socket_->reading == on)
        return;
    socket_->reading = on;
    if (on && socket_->send_failed)
        return socket_->end_after_reading();
    socket_->update_wanted();
}

Micros PollLoop::SocketStream::resource_delay() const {
    return socket_->lacking_resources_since > 0 ? socket_->loop.now() - socket_->lacking_resources_since : 0;
}

void PollLoop::SocketStream::schedule_delivery() {
    if (socket_->in.empty() || std::exchange(socket_->delivery_scheduled, true))
        return;
    socket_->loop.to_deliver_.push_back(socket_);
}

void PollLoop::SocketStream::discard_input() {
    socket_->in.clear();
    socket_->update_wanted();
}

}  // namespace gatetiller::net
