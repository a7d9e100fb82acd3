// net: the event loop interface: time, timers, listeners, connections and byte streams. `PollLoop`
// (poll_loop.hpp) implements it on poll(2); tests can substitute a virtual network.
//
// Everything runs on the loop's thread. No function blocks or throws. The holder of a Stream or a Listener
// owns it: destroying the object closes it at once without another callback, and is allowed anywhere,
// including in the object's own callbacks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/buffer.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

namespace gatetiller::net {

// A socket address: "127.0.0.1:8080", "[::1]:8080", "localhost:8080" or "unix:/run/x.sock". Host names other
// than localhost are not resolved, because a lookup would block the loop.
struct Address {
    enum class Family {
        ipv4,
        ipv6,
        local
    };
    Family family = Family::ipv4;
    std::string host;        // a numeric address, or the path of a Unix socket
    std::uint16_t port = 0;  // 0 when listening: the kernel chooses the port

    static Result<Address> parse(std::string_view text);
    std::string text() const;
    friend bool operator==(const Address&, const Address&) = default;
};

enum class Closed {
    by_peer,            // orderly close by the peer
    reset,              // connection broken; sent bytes may have arrived
    refused,            // nothing was sent: connecting failed (refused, unreachable)
    connect_timed_out,  // nothing was sent: connecting timed out
    local,  // nothing was sent: this machine lacked a resource (descriptors, memory, ports, a route)
};

class InputBudget;

class StreamEvents {
public:
    virtual ~StreamEvents() = default;
    virtual void on_connected() {}
    // Consumes the usable part of `in`. Unconsumed bytes are passed again together with the next ones.
    virtual void on_data(Buffer& in) = 0;
    // Called before at most this many pending bytes are written to the kernel: the last opportunity to cancel
    // or replace them.
    virtual void on_sending(std::size_t) {}
    virtual void on_sent() {}                // all bytes passed to send() are written to the kernel
    virtual void on_closed(Closed how) = 0;  // the last callback
};

using SendId = std::uint64_t;  // identifies one call of send(), increasing; 0: rejected by send()
enum class Written {
    none,
    partial,
    all
};

class Stream {
public:
    virtual ~Stream() = default;
    // Sets the receiver of the callbacks, which must outlive the stream.
    virtual void events(StreamEvents& to) = 0;
    // Buffers the bytes until the kernel accepts them. unsent() shows back-pressure.
    virtual SendId send(std::string bytes) = 0;
    virtual std::size_t unsent() const = 0;  // bytes not yet accepted by the kernel
    // Returns how much of one send() the kernel has accepted. After the stream has ended, this is the most
    // that can have arrived.
    virtual Written written(SendId id) const = 0;
    // Returns the number of bytes that the kernel has accepted and the peer has not acknowledged, or nullopt
    // if unknown.
    virtual std::optional<std::size_t> unacknowledged() const = 0;
    // Removes one send() from the buffer if the kernel has accepted none of it, so that it never arrives.
    // Returns whether it was removed.
    virtual bool cancel_send(SendId id) = 0;
    // Replaces the bytes of one send() if the kernel has accepted none of them. Returns whether they were
    // replaced.
    virtual bool replace(SendId id, std::string bytes) = 0;
    // Stops sending, including the rest of a partially written send(). Received bytes are still delivered.
    virtual void discard_unsent() = 0;
    // Like discard_unsent(), but destroying the stream also resets the connection, which discards the bytes
    // that the kernel holds and the peer has not acknowledged. Acknowledged bytes are not affected.
    virtual void discard() = 0;
    // Graceful close: sends all pending bytes, then shuts down this side (half-close). Incoming bytes are
    // read and dropped, because unread bytes would cause a reset that discards what the peer has not read
    // yet. on_closed() follows when the peer has closed too; the owner limits the time to wait for it.
    virtual void finish() = 0;
    // Reads and delivers available bytes now instead of in the next turn. The stream may end during the call.
    // Returns whether everything available was read.
    virtual bool read_now() = 0;
    // Enables or disables reading. While disabled, bytes stay in the kernel's buffer and apply back-pressure
    // to the peer, and only a reset reported by the kernel is noticed, not an orderly close.
    virtual void read(bool on) = 0;
    // Maximum time that the bytes delivered now can have waited unread because this machine lacked the
    // resources to read or accept them, in addition to Loop::input_delay().
    virtual Micros resource_delay() const = 0;
    virtual void schedule_delivery() = 0;  // calls on_data again in the next turn if bytes are buffered
    // While the budget is exceeded, at most InputBudget::kAllowanceBytes are buffered for the owner; the rest
    // stays in the kernel's buffer. The budget must outlive the stream; its owner keeps it up to date.
    virtual void set_input_budget(const InputBudget& budget) = 0;
    // Drops the received bytes that the owner has not consumed. In the stream's own on_data, views of its
    // buffer become invalid.
    virtual void discard_input() = 0;
    virtual const std::string& peer() const = 0;  // address of the peer, for logs and limits
};

class Listener {
public:
    virtual ~Listener() = default;
    virtual const Address& address() const = 0;  // with the port chosen by the kernel
    // Enables or disables accepting. While disabled, new connections wait in the listen backlog, unnoticed;
    // the caller accounts for that delay after enabling it again.
    virtual void accept(bool on) = 0;
    // Accepts at most `max_count` connections from the listen backlog now. To be called before the listener
    // is destroyed, which resets the remaining ones. Returns whether the backlog is empty.
    virtual bool accept_pending(std::size_t max_count) = 0;
};

// A datagram socket (UDP over IPv4 or IPv6). Datagrams that cannot be sent are dropped silently, like
// datagrams lost in transit.
class Datagrams {
public:
    // Receives a datagram and its (unverified) source address.
    using Received = std::function<void(const Address& from, std::string_view bytes)>;
    virtual ~Datagrams() = default;
    virtual void send(const Address& to, std::string_view bytes) = 0;
    virtual const Address& address() const = 0;  // with the port chosen by the kernel
};

using TimerId = std::uint64_t;  // 0: none

class Loop {
public:
    virtual ~Loop() = default;
    virtual Micros now() const = 0;  // monotonic; unaffected by steps of the wall clock
    // Maximum time that input processed in this turn can have waited because the process was busy or stalled.
    // Callers that compute with a peer's time limit subtract it.
    virtual Micros input_delay() const = 0;
    virtual Micros wall() const = 0;  // microseconds since 1970, for records and logs only
    virtual TimerId after(Micros delay, std::function<void()> call) = 0;
    virtual void cancel(TimerId timer) = 0;  // ignores 0 and expired timers
    virtual std::size_t timers() const = 0;  // number of pending timers
    virtual Result<std::unique_ptr<Listener>> listen(
        const Address& at, std::function<void(std::unique_ptr<Stream>)> accepted) = 0;
    // Never fails immediately: errors are reported through on_closed in a later turn. `time_out` limits
    // connecting only; if this machine lacks a resource, connecting is retried until then.
    virtual std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) = 0;
    virtual Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) = 0;
};

}  // namespace gatetiller::net
