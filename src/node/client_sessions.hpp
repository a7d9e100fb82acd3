// The client side of a front node: Thrift connections, their requests by sequence number, and the bounds on
// both. A malformed message gets an exception, and its connection closes once the requests accepted before
// are answered. Well-formed requests go to the handler.
//
// Invariant: a connection closes only with a permit of decide::CloseGuard, so never while a response is owed
// or on its way, except for the reasons that the guard names. Closes are graceful where a descriptor can be
// spared for them.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "decide/client_eviction.hpp"
#include "decide/client_sequence_numbers.hpp"
#include "decide/close_guard.hpp"
#include "decide/resource_limits.hpp"
#include "net/loop.hpp"
#include "node/fault_injection.hpp"
#include "thrift/service.hpp"

namespace gatetiller::node {

// Identifies a client connection; never used again.
using ClientId = std::uint64_t;

// Counters since the start.
struct ClientCounters {
    std::uint64_t accepted = 0;   // connections
    std::uint64_t malformed = 0;  // messages that ended their connection
    std::uint64_t evicted = 0;    // connections closed at once for others
    std::uint64_t overdue =
        0;  // times that no complete request arrived in time; the connection may have been kept
    std::uint64_t waits = 0;  // times that newcomers waited until a connection could be evicted
    std::array<std::uint64_t, decide::kCloseReasons> closed{};  // connections, by reason
};

class ClientSessions {
public:
    struct Events {
        // A `process` call, to be answered by respond(). It may have waited unseen for `unseen` microseconds.
        std::function<void(ClientId, thrift::Call, Micros unseen)> on_request;
        // The client has cancelled the request, or its connection has ended: no response is owed any more.
        std::function<void(ClientId, std::int32_t sequence)> on_cancelled;
        // This side closes a connection; for logs.
        std::function<void(ClientId, const std::string& peer, decide::CloseReason,
                           const decide::ClosingContext&)>
            on_closed;
        // CloseGuard has refused a close.
        std::function<void(decide::Invariant, ClientId)> on_violation;
    };

    // The loop and the fault injection outlive it.
    ClientSessions(net::Loop& loop, decide::ResourceLimits limits, Events events,
                   const FaultInjection& faults = fault_injection());
    ~ClientSessions();
    ClientSessions(const ClientSessions&) = delete;
    ClientSessions& operator=(const ClientSessions&) = delete;

    // Returns the address listened on, with its port. Fails where the socket can't be opened.
    Result<net::Address> listen(const net::Address& at);
    // Sends the response of an open request, as a complete frame; ignored where the client has left.
    void respond(ClientId id, std::int32_t sequence, std::string frame);
    // The limits for connections and responses from now on.
    void set_limits(const decide::ResourceLimits& limits) {
        limits_ = limits;
    }

    // ---- Graceful shutdown

    // Accepts at once where accepting was paused for want of capacity.
    void resume_accepting();
    // Closes the connections that are idle now; to be called repeatedly.
    void close_idle();
    // Accepts who waits in the listen backlog, as far as the limits allow, and closes the listener once
    // nobody waits; to be called repeatedly. `now`: closes it whoever waits.
    void close_listener(bool now);

    bool is_listening() const {
        return listener_ != nullptr;
    }
    std::size_t connections() const {
        return connections_.size();
    }
    const ClientCounters& counters() const {
        return counters_;
    }

private:
    class Connection;
    struct Eviction {
        decide::EvictionCandidate candidate;
        ClientId id = 0;
    };

    void on_accepted(std::unique_ptr<net::Stream> stream);
    void ensure_capacity();
    std::optional<Eviction> next_eviction() const;
    bool evict_one();
    void pause_accepting(Micros until);
    bool read_and_check_idle(ClientId id);
    void close_if_idle(ClientId id, decide::CloseReason reason);
    void drop(ClientId id, decide::CloseReason reason);
    std::optional<decide::ClosePermit> permit_close(const Connection& connection, decide::CloseReason reason);
    void close_timed_out();

    net::Loop& loop_;
    decide::ResourceLimits limits_;
    decide::ClientTimeouts timeouts_;
    Events events_;
    const FaultInjection& faults_;
    std::unique_ptr<net::Listener> listener_;
    std::unordered_map<ClientId, std::unique_ptr<Connection>> connections_;
    ClientId last_id_ = 0;
    ClientCounters counters_;
    Micros backlog_since_ = 0;  // newcomers may have waited in the listen backlog since then; 0: none did
    net::TimerId sweep_timer_ = 0;
    net::TimerId resume_timer_ = 0;
    net::TimerId backlog_timer_ = 0;
};

}  // namespace gatetiller::node
