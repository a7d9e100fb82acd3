// net: the event loop as the rest of the program sees it: time, timers, listening, connecting and streams of
// bytes. `PollLoop` (poll_loop.hpp) is the real one, on poll(2); a virtual network can stand in its place.
//
// Everything runs on the loop's thread. Nothing here blocks and nothing throws. Whoever holds a Stream or a
// Listener owns it: destroying it closes it at once, without a further call, and that is allowed anywhere, in
// its own callbacks too.
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

// Where something listens: "127.0.0.1:8080", "[::1]:8080", "localhost:8080", "unix:/run/x.sock". Names other
// than localhost are not looked up: a look-up would hold up the loop.
struct Address {
    enum class Family {
        ipv4,
        ipv6,
        local
    };
    Family family = Family::ipv4;
    std::string host;        // a number, or the path of a Unix socket
    std::uint16_t port = 0;  // 0 when listening: the kernel chooses

    static Result<Address> parse(std::string_view text);
    std::string text() const;
    friend bool operator==(const Address&, const Address&) = default;
};

enum class Closed {
    by_peer,            // the peer ended it in order
    reset,              // the connection broke; what was sent may have arrived
    refused,            // nothing was sent: no connection came about (refused, unreachable)
    connect_timed_out,  // nothing was sent: no connection came about in time
    local,  // nothing was sent: this machine lacked something (descriptors, memory, ports, a route)
};

class StreamEvents {
public:
    virtual ~StreamEvents() = default;
    virtual void on_connected() {}
    // Take from `in` what can be used. What is left is offered again along with more.
    virtual void on_data(Buffer& in) = 0;
    // What was given to send() is about to go to the kernel, the first so many bytes of it at most: the last
    // moment to take it back or to replace it.
    virtual void on_sending(std::size_t) {}
    virtual void on_sent() {}                // all that was given to send() has gone to the kernel
    virtual void on_closed(Closed how) = 0;  // the last call
};

using SendId = std::uint64_t;  // of what was given to one call of send(); they climb. 0: it was not kept
enum class Written {
    none,
    partial,
    all
};

class Stream {
public:
    virtual ~Stream() = default;
    virtual void events(StreamEvents& to) = 0;  // who is told; must outlive the stream
    // Kept until the kernel takes it; look at unsent() for back-pressure.
    virtual SendId send(std::string bytes) = 0;
    virtual std::size_t unsent() const = 0;  // bytes not yet taken by the kernel
    // How much of it the kernel has taken. Once the stream has ended this is what can have arrived at most.
    virtual Written written(SendId id) const = 0;
    // Bytes that the kernel has taken and the peer's has not acknowledged yet; nothing where that can't be
    // told.
    virtual std::optional<std::size_t> unacknowledged() const = 0;
    // Takes it out of the buffer where the kernel has none of it: then it never arrives. Whether that was so.
    virtual bool cancel_send(SendId id) = 0;
    // Puts other bytes in its place where the kernel has none of it. Whether that was so.
    virtual bool replace(SendId id, std::string bytes) = 0;
    // Nothing more goes out, not even the rest of what is written in part; what has come is still heard.
    virtual void discard_unsent() = 0;
    // Nothing more arrives: as discard_unsent(), and what the kernel holds and the peer has not acknowledged
    // is discarded when this is destroyed, which then resets the connection. Of what was acknowledged nothing
    // is taken back.
    virtual void discard() = 0;
    // Graceful close: what was given to send() goes out, then this side is shut (half-close). What still
    // comes is read and dropped, so that no reset takes away what the peer has not read yet; on_closed() once
    // the peer has ended too. For how long that is waited for is the owner's affair.
    virtual void finish() = 0;
    // Hears now what has come already, instead of in the next turn. The stream may end in this. Whether all
    // that had come was read.
    virtual bool read_now() = 0;
    // Off: bytes stay in the kernel's buffer and hold back the peer. An end of the connection is then noticed
    // only where the kernel tells of a reset.
    virtual void read(bool on) = 0;
    // How long at most what is delivered now can have waited unread, because this machine lacked what reading
    // or accepting it needs; beside Loop::input_delay().
    virtual Micros resource_delay() const = 0;
    virtual void schedule_delivery() = 0;         // calls on_data once more soon, if bytes wait
    virtual const std::string& peer() const = 0;  // address of the other side, for logs and limits
};

class Listener {
public:
    virtual ~Listener() = default;
    virtual const Address& address() const = 0;  // with the port that the kernel chose
    // Off: who comes waits in the listen backlog, unseen; whoever turns it on again reckons with that.
    virtual void accept(bool on) = 0;
    // Takes in who waits in the listen backlog, now, so many at most: before the listener is destroyed, which
    // resets the others. Whether nobody waits any more.
    virtual bool accept_pending(std::size_t most) = 0;
};

// A socket for datagrams (UDP over IPv4 or IPv6). What can't be sent is lost without a word, as on the way.
class Datagrams {
public:
    // A datagram and the address that it says it comes from.
    using Received = std::function<void(const Address& from, std::string_view bytes)>;
    virtual ~Datagrams() = default;
    virtual void send(const Address& to, std::string_view bytes) = 0;
    virtual const Address& address() const = 0;  // with the port that the kernel chose
};

using TimerId = std::uint64_t;  // 0: none

class Loop {
public:
    virtual ~Loop() = default;
    virtual Micros now() const = 0;  // monotonic; a step of the wall clock doesn't show
    // How long at most what comes up in this turn can have waited unseen, because the process was busy or
    // stood still. Whoever reckons with another side's time takes it off.
    virtual Micros input_delay() const = 0;
    virtual Micros wall() const = 0;  // since 1970, for records and logs only
    virtual TimerId after(Micros delay, std::function<void()> call) = 0;
    virtual void cancel(TimerId timer) = 0;  // 0 and ids that have rung are passed over
    virtual std::size_t timers() const = 0;  // that have not rung
    virtual Result<std::unique_ptr<Listener>> listen(
        const Address& at, std::function<void(std::unique_ptr<Stream>)> accepted) = 0;
    // Never fails at once: what goes wrong comes as on_closed in a later turn. `time_out` is for connecting
    // only; where this machine lacks something for it, connecting is tried again until then.
    virtual std::unique_ptr<Stream> connect(const Address& to, StreamEvents& events, Micros time_out) = 0;
    virtual Result<std::unique_ptr<Datagrams>> datagrams(const Address& at, Datagrams::Received received) = 0;
};

}  // namespace gatetiller::net
