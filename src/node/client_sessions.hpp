// The client side of a front node: Thrift connections, their requests by sequence number, and the limits on
// both. A malformed message is answered with an exception, and its connection closes once the requests
// accepted before it have their responses. Well-formed requests are passed to Events::on_request.
//
// Invariant: a connection closes only with a permit of decide::CloseGuard, so never while a response is
// pending or not fully sent, except for the reasons that the guard allows. Closes are graceful as long as
// there are descriptors to spare for them.
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
#include "decide/slow_reader.hpp"
#include "net/input_budget.hpp"
#include "net/loop.hpp"
#include "node/fault_injection.hpp"
#include "thrift/service.hpp"

namespace gatetiller::node {

// Identifies a client connection; values are not reused.
using ClientId = std::uint64_t;

// Counters since the start.
struct ClientCounters {
    std::uint64_t accepted = 0;   // connections
    std::uint64_t malformed = 0;  // malformed messages, each of which ends its connection
    std::uint64_t evicted = 0;    // connections closed immediately to make capacity for new ones
    // Timeouts while waiting for a complete request. The connection may have stayed open, if a last read
    // found one.
    std::uint64_t overdue = 0;
    // Messages discarded unread, as the clients' input exceeded its limit.
    std::uint64_t discarded = 0;
    std::uint64_t waits = 0;  // times that accepting paused until a connection could be evicted
    std::array<std::uint64_t, decide::kCloseReasons> closed{};  // connections, by reason
};

class ClientSessions {
public:
    struct Events {
        // A `process` call, whose response is sent with respond(). `unread_wait`: how long, in microseconds,
        // it may have waited before this process read it.
        std::function<void(ClientId, thrift::Call, Micros unread_wait)> on_request;
        // A request was discarded unread, as the clients' input exceeded its limit. Its rejection is sent
        // with respond().
        std::function<void(ClientId, std::int32_t sequence)> on_discarded;
        // The client has cancelled the request or its connection has ended: no response is expected any more.
        std::function<void(ClientId, std::int32_t sequence)> on_cancelled;
        // This node closes a connection; for logs.
        std::function<void(ClientId, const std::string& peer, decide::CloseReason,
                           const decide::ClosingContext&)>
            on_closed;
        // CloseGuard has refused a permit to close a connection.
        std::function<void(decide::Invariant, ClientId)> on_violation;
    };

    // The loop and the fault injection must outlive the sessions.
    ClientSessions(net::Loop& loop, decide::ResourceLimits limits, Events events,
                   const FaultInjection& faults = fault_injection());
    ~ClientSessions();
    ClientSessions(const ClientSessions&) = delete;
    ClientSessions& operator=(const ClientSessions&) = delete;

    // Returns the bound address with its port, or an error if the socket can't be opened.
    Result<net::Address> listen(const net::Address& at);
    // Sends the response of an open request, as a complete frame; no effect if the client has disconnected.
    void respond(ClientId id, std::int32_t sequence, std::string frame);
    // Replaces the limits on connections, input and unsent responses.
    void set_limits(const decide::ResourceLimits& limits) {
        limits_ = limits;
        input_budget_.set_limit(limits.input_bytes);
    }

    // ---- Graceful shutdown

    // Resumes accepting immediately if it was paused for lack of capacity.
    void resume_accepting();
    // Closes the connections that are idle now; to be called repeatedly.
    void close_idle();
    // Accepts connections from the listen backlog as far as the limits allow, and closes the listener once
    // the backlog is empty; to be called repeatedly. `force`: closes it even if connections wait.
    void close_listener(bool force);

    bool is_listening() const {
        return listener_ != nullptr;
    }
    std::size_t connections() const {
        return connections_.size();
    }
    // Bytes of memory that hold input of all clients which is not read yet.
    std::size_t input_bytes() const {
        return input_budget_.held();
    }
    // Bytes of the responses of all clients that the kernel has not accepted, as of the last sweep or later.
    std::size_t unsent_bytes() const {
        return unsent_bytes_;
    }
    // The same of one client; 0 if it has disconnected.
    std::size_t unsent_bytes(ClientId id) const;
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
    void sweep();
    void close_timed_out();
    void close_slow_readers();
    void close_if_over_limit(ClientId id);
    void discard_excess_input();

    net::Loop& loop_;
    decide::ResourceLimits limits_;
    decide::ClientTimeouts timeouts_;
    net::InputBudget input_budget_;
    std::size_t unsent_bytes_ = 0;  // each connection keeps its part up to date
    Events events_;
    const FaultInjection& faults_;
    std::unique_ptr<net::Listener> listener_;
    std::unordered_map<ClientId, std::unique_ptr<Connection>> connections_;
    ClientId last_id_ = 0;
    ClientCounters counters_;
    Micros backlog_since_ = 0;  // since when connections may wait in the listen backlog; 0: it is empty
    net::TimerId sweep_timer_ = 0;
    net::TimerId resume_timer_ = 0;
    net::TimerId backlog_timer_ = 0;
};

}  // namespace gatetiller::node
