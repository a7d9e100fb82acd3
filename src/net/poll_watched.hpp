// The descriptors polled by PollLoop: stream sockets, listeners, datagram sockets and the signal descriptor.
// Internal to src/net.
#pragma once

#include <poll.h>

#include <optional>
#include <utility>

#include "net/input_budget.hpp"
#include "net/kernel_address.hpp"
#include "net/poll_loop.hpp"

namespace gatetiller::net {

// A polled descriptor and the events it is polled for. close() removes it from the poll set.
struct PollLoop::Watched : std::enable_shared_from_this<Watched> {
    Watched(PollLoop& l, int descriptor) : loop(l), fd(descriptor) {}
    virtual ~Watched() = default;
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;
    virtual void on_ready(short events) = 0;
    // Returns the events that the descriptor is polled for.
    virtual short wanted() const {
        return POLLIN;
    }
    // Returns whether it is processed before the other descriptors of the same poll, because its input may
    // forbid what they would do next.
    virtual bool has_priority() const {
        return false;
    }
    virtual void on_resumed() {}  // called when a pause ends

    void watch() {
        loop.watch(shared_from_this(), wanted());
    }
    void update_wanted() {
        if (fd >= 0 && pause_timer == 0)
            loop.set_events(*this, wanted());
    }
    // Stops polling for `duration`, for when the kernel lacks a resource and still reports the descriptor as
    // ready.
    void pause(Micros duration);
    void close();

    PollLoop& loop;
    int fd;
    std::size_t index = 0;
    TimerId pause_timer = 0;
};

// A TCP or Unix connection.
struct PollLoop::Socket final : Watched {
    using Watched::Watched;
    struct PendingSend {  // the bytes of one call of send() that the kernel has not accepted yet
        SendId id;
        std::size_t remaining;
        bool started;
    };

    // Connecting
    void connect(const Address& to, Micros time_out);
    void try_connect();
    void finish_connecting();

    // Reading
    void on_ready(short ready) override;
    struct Reading {
        std::size_t received = 0;  // bytes
        bool all = false;          // the kernel has no more for now
        std::optional<Closed> ended;
    };
    bool receive();  // returns whether everything available was read
    Reading read_available(std::size_t limit);
    std::size_t input_limit() const;
    void deliver();

    // Writing
    void write_pending();
    void schedule_write();  // schedules a write for the beginning of the next turn, like all writes
    void retry_write_later();
    void enqueue(std::string bytes);
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
    bool can_write() const {
        return fd >= 0 && !connecting && !out.empty();
    }

    StreamEvents* owner = nullptr;
    const InputBudget* input_budget = nullptr;  // null: only the loop's limit applies
    Buffer in, out;
    // The parts of `out`, in order; includes dropped ones after the stream broke.
    std::vector<PendingSend> pending;
    SendId last_send = 0;
    std::string peer;
    Address destination;
    Micros connect_until = 0;
    // Since when reading has failed for lack of a local resource; 0: not failing.
    Micros lacking_resources_since = 0;
    bool connecting = false, reading = true, flush_scheduled = false, delivery_scheduled = false,
         broken = false;
    bool was_reset = false, finishing = false, write_shut_down = false;
    bool send_failed = false;   // permanently: the stream ends once the received bytes are read
    TimerId connect_timer = 0;  // time limit of connecting, or delayed end of the stream
    TimerId write_timer = 0;    // next write attempt after the kernel lacked memory

private:
    void count_written(std::size_t n);
    std::vector<PendingSend>::const_iterator find_pending(SendId id) const;
    std::size_t bytes_before(std::vector<PendingSend>::const_iterator position) const;
};

struct PollLoop::ListeningSocket final : Watched {
    using Watched::Watched;
    enum class AcceptResult {
        accepted,
        none_pending,
        lacks_resources  // descriptors or memory
    };
    void on_ready(short) override;
    AcceptResult accept_one();
    bool has_pending_connections() const;
    short wanted() const override {
        return accepting ? POLLIN : 0;
    }

    Address address;
    std::function<void(std::unique_ptr<Stream>)> accepted;
    Micros lacking_resources_since = 0;  // since when accepting has failed; 0: not failing
    bool accepting = true;
};

struct PollLoop::DatagramSocket final : Watched {
    using Watched::Watched;
    void on_ready(short) override;
    bool has_priority() const override {
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
    bool has_priority() const override {
        return true;
    }
    std::function<void(int)> handler;
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
    void set_input_budget(const InputBudget& budget) override {
        socket_->input_budget = &budget;
    }
    void discard_input() override;
    const std::string& peer() const override {
        return socket_->peer;
    }

private:
    std::shared_ptr<Socket> socket_;
};

}  // namespace gatetiller::net
