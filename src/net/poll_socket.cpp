// Connections of PollLoop.
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
constexpr std::size_t kWriteSize = 256 * 1024;       // written at once, before the owner is asked again
constexpr Micros kNoBuffers = 5 * kMillisecond;      // when the kernel lacks memory for a transfer
constexpr Micros kConnectAgain = 20 * kMillisecond;  // when this machine lacks something for a connection

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
    const Micros left = std::max<Micros>(0, connect_until - loop.now());
    switch (error) {
        case ConnectError::in_progress:
            watch();
            return end_later(left, Closed::connect_timed_out);
        case ConnectError::refused:
            ::close(std::exchange(fd, -1));
            return end_later(0, Closed::refused);
        case ConnectError::local:
            break;
    }
    if (fd >= 0)
        ::close(std::exchange(fd, -1));
    if (left == 0)
        return end_later(0, Closed::local);
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(std::min(kConnectAgain, left), [this, weak] {
        if (const auto kept = weak.lock())
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
    if (may_write())
        write_soon();
}

// ---- Reading

void PollLoop::Socket::on_ready(short ready) {
    if (connecting)
        return finish_connecting();
    if ((ready & POLLOUT) && may_write())
        write_soon();
    if (fd >= 0 && (ready & (POLLIN | POLLHUP | POLLERR)))
        read_in();
}

bool PollLoop::Socket::read_in() {
    if (!reading || in.size() >= loop.limits_.input) {
        // A stream that isn't read is still told of a reset. An end in order waits until it is read again, as
        // bytes may stand before it; poll would report it in every turn, so it isn't asked meanwhile.
        if (pending_error(fd) != 0)
            end(Closed::reset);
        else
            loop.mute(*this);
        return false;
    }
    // To the end, where it is there: whoever has gone behind a request must be known to have gone before
    // anything is sent on for it.
    char piece[kReadSize];
    std::optional<Closed> ended;
    std::size_t got = 0;
    bool all = false;
    while (got < kReadSize && in.size() < loop.limits_.input && !ended && !all) {
        const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
        if (n > 0) {
            in.append(std::string_view(piece, static_cast<std::size_t>(n)));
            got += static_cast<std::size_t>(n);
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
                pause(kNoBuffers);
                all = true;
                break;
            case TransferError::connection_over:
                ended = Closed::reset;
                was_reset = true;  // the kernel tells it once
                break;
        }
    }
    const bool paused = pause_timer != 0;
    // What is left unread has waited for as long as what was read.
    const bool left_over = paused || (!all && !ended);
    if (left_over && starved_since == 0)
        starved_since = loop.now() - loop.input_delay();
    if (got > 0)
        deliver();
    if (!left_over)
        starved_since = 0;
    // An owner that has turned reading off in this hears of the end once it reads again.
    if (ended && fd >= 0 && (reading || got == 0))
        end(*ended);
    return (all && !paused) || ended;
}

void PollLoop::Socket::deliver() {
    if (finishing)
        in.clear();
    if (!owner || in.empty())
        return;
    owner->on_data(in);
    update_wanted();
}

// ---- Writing

void PollLoop::Socket::write_out() {
    std::size_t announced = 0;  // bytes that the owner has been told of
    while (fd >= 0 && !out.empty()) {
        if (announced == 0) {
            announced = kWriteSize;
            if (owner)
                owner->on_sending(announced);
            continue;  // it may have taken back all of it
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
            return write_again_later();
        return end_after_reading();
    }
    if (fd < 0)
        return;
    if (finishing && out.empty() && !std::exchange(shut, true))
        ::shutdown(fd, SHUT_WR);
    update_wanted();
    if (out.empty() && owner)
        owner->on_sent();
}

// Reading goes on meanwhile: a request must not wait unread, nor an answer lose against its time-out.
void PollLoop::Socket::write_again_later() {
    if (write_timer == 0) {
        const std::weak_ptr<Watched> weak = weak_from_this();
        write_timer = loop.after(kNoBuffers, [this, weak] {
            const auto kept = weak.lock();
            if (!kept)
                return;
            write_timer = 0;
            if (may_write())
                write_soon();
        });
    }
    update_wanted();
}

void PollLoop::Socket::send_later(std::string bytes) {
    pieces.push_back({++last_send, bytes.size(), false});
    out.append(std::move(bytes));
    write_soon();
}

// Never in the middle of a turn: what else has come in it may still take back what waits here.
void PollLoop::Socket::write_soon() {
    if (std::exchange(flushing, true))
        return;
    loop.to_flush_.push_back(std::static_pointer_cast<Socket>(shared_from_this()));
}

// Nothing more goes out. What the peer said before it closed may still be there to be read: it may be the
// answer. The kernel need not tell of the end once more, so that it is looked for here.
void PollLoop::Socket::end_after_reading() {
    discard_unsent();
    send_failed = true;
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(0, [this, weak] {
        const auto kept = weak.lock();
        if (!kept || fd < 0 || !owner)
            return;
        connect_timer = 0;
        if (reading)
            read_in();
    });
}

void PollLoop::Socket::discard_unsent() {
    broken = true;
    out.clear();
    update_wanted();
}

void PollLoop::Socket::discard() {
    discard_unsent();
    const linger at_once{
        1, 0};  // close() resets the connection, and the kernel sends nothing more of what it holds
    if (fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void PollLoop::Socket::count_written(std::size_t n) {
    out.consume(n);
    auto at = pieces.begin();
    for (; at != pieces.end() && n >= at->left; ++at)
        n -= at->left;
    pieces.erase(pieces.begin(), at);
    if (n > 0)
        pieces.front().left -= n, pieces.front().begun = true;
}

std::vector<PollLoop::Socket::Piece>::const_iterator PollLoop::Socket::piece(SendId id) const {
    return std::find_if(pieces.begin(), pieces.end(), [&](const Piece& p) {
        return p.id == id;
    });
}

Written PollLoop::Socket::written(SendId id) const {
    if (id == 0)
        return Written::none;
    const auto at = piece(id);
    if (at == pieces.end())
        return Written::all;
    return at->begun ? Written::partial : Written::none;
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
    const auto at = piece(id);
    if (!broken)
        out.erase(bytes_ahead(at), at->left);
    pieces.erase(at);
    return true;
}

bool PollLoop::Socket::replace(SendId id, const std::string& bytes) {
    if (id == 0 || broken || bytes.empty() || written(id) != Written::none)
        return false;
    const auto at = piece(id);
    out.replace(bytes_ahead(at), at->left, bytes);
    pieces[static_cast<std::size_t>(at - pieces.cbegin())].left = bytes.size();
    return true;
}

std::size_t PollLoop::Socket::bytes_ahead(std::vector<Piece>::const_iterator of) const {
    std::size_t ahead = 0;
    for (auto before = pieces.cbegin(); before != of; ++before)
        ahead += before->left;
    return ahead;
}

void PollLoop::Socket::finish() {
    if (fd < 0 || std::exchange(finishing, true))
        return;
    reading = true;
    in.clear();
    write_out();
}

// ---- Both

short PollLoop::Socket::wanted() const {
    if (connecting)
        return POLLOUT;
    const bool in_room = reading && in.size() < loop.limits_.input;
    const bool writes = !out.empty() && write_timer == 0;
    return static_cast<short>((in_room ? POLLIN : 0) | (writes ? POLLOUT : 0));
}

void PollLoop::Socket::on_resumed() {
    if (send_failed && reading)
        read_in();
    else if (may_write())
        write_soon();
}

void PollLoop::Socket::end(Closed how) {
    cancel_timers();
    close();
    if (StreamEvents* told = std::exchange(owner, nullptr))
        told->on_closed(how);
}

void PollLoop::Socket::cancel_timers() {
    loop.cancel(std::exchange(connect_timer, 0));
    loop.cancel(std::exchange(write_timer, 0));
}

void PollLoop::Socket::end_later(Micros delay, Closed how) {
    const std::weak_ptr<Watched> weak = weak_from_this();
    connect_timer = loop.after(delay, [this, weak, how] {
        if (const auto kept = weak.lock(); kept && owner)
            end(how);
    });
}

PollLoop::SocketStream::~SocketStream() {
    socket_->owner = nullptr;
    // What was given to send() in this turn goes out as far as the kernel takes it.
    if (socket_->may_write())
        socket_->write_out();
    socket_->cancel_timers();
    socket_->close();
}

SendId PollLoop::SocketStream::send(std::string bytes) {
    const bool over = socket_->fd < 0 && !socket_->connecting;
    if (over || socket_->broken || socket_->finishing || bytes.empty())
        return 0;
    socket_->send_later(std::move(bytes));
    return socket_->last_send;
}

bool PollLoop::SocketStream::read_now() {
    const auto kept = socket_;  // the owner may destroy this stream in what it hears
    if (kept->fd < 0 || kept->connecting || !kept->reading)
        return true;
    return kept->read_in();
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
    return socket_->starved_since > 0 ? socket_->loop.now() - socket_->starved_since : 0;
}

void PollLoop::SocketStream::schedule_delivery() {
    if (socket_->in.empty() || std::exchange(socket_->offering, true))
        return;
    socket_->loop.to_offer_.push_back(socket_);
}

}  // namespace gatetiller::net
