// What PollLoop polls: sockets of streams, listeners, datagram sockets and the descriptor of signals.
// Internal to src/net.
#pragma once

#include <poll.h>

#include <optional>
#include <utility>

#include "net/kernel_address.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::net {

// A descriptor with what it is polled for. It leaves the poll set when it is closed.
struct PollLoop::Watched : std::enable_shared_from_this<Watched> {
    Watched(PollLoop& l, int descriptor) : loop(l), fd(descriptor) {}
    virtual ~Watched() = default;
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;
    virtual void on_ready(short events) = 0;
    virtual short wanted() const {
        return POLLIN;
    }  // the events that it is polled for
    // Whether it is heard before all else that came up in the same poll: what it tells may forbid what others
    // do next.
    virtual bool heard_first() const {
        return false;
    }
    virtual void on_resumed() {}  // a pause is over

    void watch() {
        loop.watch(shared_from_this(), wanted());
    }
    void update_wanted() {
        if (fd >= 0 && pause_timer == 0)
            loop.want(*this, wanted());
    }
    // The kernel lacks something and yet says that the descriptor is ready: it is not polled for so long.
    void pause(Micros span);
    void close();

    PollLoop& loop;
    int fd;
    std::size_t index = 0;
    TimerId pause_timer = 0;
};

// A TCP or Unix connection.
struct PollLoop::Socket final : Watched {
    using Watched::Watched;
    struct Piece {  // what one call of send() gave, as far as the kernel has not taken it
        SendId id;
        std::size_t left;
        bool begun;
    };

    // Connecting
    void connect(const Address& to, Micros time_out);
    void try_connect();
    void finish_connecting();

    // Reading
    void on_ready(short ready) override;
    bool read_in();  // whether all that had come was read
    void deliver();

    // Writing
    void write_out();
    void write_soon();  // at the beginning of the next turn, as everything is written
    void write_again_later();
    void send_later(std::string bytes);
    Written written(SendId id) const;
    std::optional<std::size_t> unacknowledged() const;
    bool cancel_send(SendId id);
    bool replace(SendId id, const std::string& bytes);
    void discard_unsent();
    void discard();
    void end_after_reading();
    void finish();

    short wanted() const override;
    void on_resumed() override;
    void end(Closed how);
    void end_later(Micros delay, Closed how);
    void cancel_timers();
    bool may_write() const {
        return fd >= 0 && !connecting && !out.empty();
    }

    StreamEvents* owner = nullptr;
    Buffer in, out;
    std::vector<Piece> pieces;  // of `out`, in order; also of what was dropped where the stream broke
    SendId last_send = 0;
    std::string peer;
    Address destination;
    Micros connect_until = 0;
    Micros starved_since = 0;  // reading has failed since then for want of something here; 0: it has not
    bool connecting = false, reading = true, flushing = false, offering = false, broken = false;
    bool was_reset = false, finishing = false, shut = false;
    bool send_failed = false;   // for good: the connection is over once what has come is read
    TimerId connect_timer = 0;  // of connecting, or of its end
    TimerId write_timer = 0;    // until it the kernel lacks memory for what is written

private:
    void count_written(std::size_t n);
    std::vector<Piece>::const_iterator piece(SendId id) const;
    std::size_t bytes_ahead(std::vector<Piece>::const_iterator of) const;
};

struct PollLoop::ListeningSocket final : Watched {
    using Watched::Watched;
    enum class Took {
        one,
        none,
        not_now
    };  // not_now: descriptors or memory are lacking
    void on_ready(short) override;
    Took accept_one();
    bool somebody_waits() const;
    short wanted() const override {
        return accepting ? POLLIN : 0;
    }

    Address address;
    std::function<void(std::unique_ptr<Stream>)> accepted;
    Micros starved_since = 0;  // accepting has failed since then; 0: it has not
    bool accepting = true;
};

struct PollLoop::DatagramSocket final : Watched {
    using Watched::Watched;
    void on_ready(short) override;
    bool heard_first() const override {
        return true;
    }

    Address address;
    Datagrams::Received received;
    std::unique_ptr<char[]> buffer;
    std::shared_ptr<char> alive = std::make_shared<char>();
};

struct PollLoop::SignalDescriptor final : Watched {
    using Watched::Watched;
    void on_ready(short) override;
    bool heard_first() const override {
        return true;
    }
    std::function<void(int)> then;
};

class PollLoop::SocketStream final : public Stream {
public:
    explicit SocketStream(std::shared_ptr<Socket> socket) : socket_(std::move(socket)) {}
    ~SocketStream() override;
    void events(StreamEvents& to) override {
        socket_->owner = &to;
    }
    SendId send(std::string bytes) override;
    std::size_t unsent() const override {
        return socket_->out.size();
    }
    Written written(SendId id) const override {
        return socket_->written(id);
    }
    std::optional<std::size_t> unacknowledged() const override {
        return socket_->unacknowledged();
    }
    bool cancel_send(SendId id) override {
        return socket_->cancel_send(id);
    }
    bool replace(SendId id, std::string bytes) override {
        return socket_->replace(id, bytes);
    }
    void discard_unsent() override {
        socket_->discard_unsent();
    }
    void discard() override {
        socket_->discard();
    }
    void finish() override {
        socket_->finish();
    }
    bool read_now() override;
    void read(bool on) override;
    Micros resource_delay() const override;
    void schedule_delivery() override;
    const std::string& peer() const override {
        return socket_->peer;
    }

private:
    std::shared_ptr<Socket> socket_;
};

}  // namespace gatetiller::net
