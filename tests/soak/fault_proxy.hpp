// A proxy between processes of the soak that misbehaves as networks do: late connections, resets at any byte,
// ends that nobody hears of, bytes that trickle or are held back. One thread carries all links. What passes
// between front nodes and engines is read on the way and recorded, with the moment at which it passed.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.hpp"
#include "net/loop.hpp"

namespace gatetiller::soak {

using LinkId = std::size_t;

struct LinkFaults {
    bool late = false;       // new connections come up only after it ends (and the kernel's next try)
    bool held = false;       // nothing is forwarded, in either direction, while it lasts
    bool half_open = false;  // connections that stand when it begins never say anything again, and never end
    bool trickle = false;    // a few bytes at a time
    double reset = 0;        // of forwarded pieces: the connection is reset before, inside or behind it
};

// What passed on a link to an engine, on the front's side of the network.
struct PassedMessage {
    Micros at = 0;
    LinkId link = 0;
    std::string event;  // arrived, undone, hit, shed, fault, late, connection_ended
    std::string request;
    std::int64_t ms = 0;  // arrived: the deadline passed on
    Micros held_since =
        0;  // it was read after the link had been held from then on, and may have come at any time since
};

class FaultProxy {
public:
    explicit FaultProxy(std::uint64_t seed);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    // A link to `target`; whoever connects to the address given back is led there. `engine`: what passes is
    // recorded.
    Result<net::Address> open(const net::Address& target, bool engine, LinkId& id);
    void aim(LinkId link, const net::Address& target);  // for connections from now on
    void set(LinkId link, const LinkFaults& faults);
    void reset(LinkId link);  // every connection on it, at once
    void close(LinkId link);  // no new ones, and those that stand are reset
    std::vector<PassedMessage> take_messages();
    std::uint64_t resets() const {
        return resets_;
    }
    std::uint64_t connections() const {
        return connections_;
    }

private:
    struct Link;
    struct Pair;
    void run();
    void turn();
    void accept_on(Link& link);
    void forward(Pair& pair);
    bool pass(Pair& pair, bool to_engine);
    void read_side(Pair& pair, bool from_front);
    void end(Pair& pair, bool with_reset);
    void fill_backlog(Link& link);
    void note_front_said(Pair& pair, std::string_view bytes);
    void note_engine_said(Pair& pair, std::string_view bytes);
    void record(const Pair& pair, const char* event, const std::string& request, std::int64_t ms = 0);

    mutable std::mutex mutex_;
    Random random_;
    std::vector<std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Pair>> pairs_;
    std::vector<PassedMessage> messages_;
    std::atomic<std::uint64_t> resets_{0}, connections_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

}  // namespace gatetiller::soak
