// The limit on the connections to all engines together, and the counters of these connections.
//
// Invariant: no connection is opened beyond the limit, so that descriptors remain for clients. At the limit
// an idle connection is closed for a new one: first that of an engine with another connection, then of any,
// each time the one idle for longest. Where none is idle, engines wait in a queue until a connection becomes
// idle or ends. A part of the limit is kept for engines without a connection, so that a few that hang do not
// take all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>

#include "net/loop.hpp"
#include "node/result_budget.hpp"

namespace gatetiller::node {

// A connection that the pool may close while it is idle.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;
    // Whether its engine has another connection.
    virtual bool has_sibling() const = 0;
    // Closes and destroys this connection.
    virtual void close_idle() = 0;
};

// An engine with requests that wait for a connection.
class ConnectionWaiter {
public:
    virtual ~ConnectionWaiter() = default;
    // One more connection may be opened, in this call. The engine no longer waits.
    virtual void on_capacity() = 0;
};

class ConnectionPool {
public:
    // What a new connection is for.
    enum class Purpose {
        first,    // the engine has no usable connection
        further,  // its requests could share one
    };

    // The loop must outlive the pool, and the pool all connections and waiters.
    explicit ConnectionPool(net::Loop& loop) : results(loop), loop_(loop) {}
    ~ConnectionPool() {
        loop_.cancel(serve_timer_);
    }
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    void set_max_connections(std::size_t max_connections);
    // Makes room for one more connection, if necessary by closing an idle one. Returns false if there is
    // none, or if engines already wait for it.
    bool make_room(Purpose purpose);
    // Puts the engine at the end of the queue for a connection, unless it waits already.
    void wait(ConnectionWaiter& waiter);
    void cancel_wait(ConnectionWaiter& waiter);

    // To be called by each connection, when it is opened, when it has no request any more, when it gets one,
    // and when it ends.
    void on_opened() {
        ++open_connections_;
    }
    void on_idle(PooledConnection& connection);
    void on_busy(PooledConnection& connection);
    void on_ended(PooledConnection& connection);

    std::size_t open_connections() const {
        return open_connections_;
    }

    // Logs the start and the end of each connection. May be absent.
    std::function<void(const std::string&)> trace;

    // Shared by the results that arrive on all connections.
    ResultBudget results;

    // Counters since the start.
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;              // refused, unreachable or not established in time
    std::uint64_t broken = 0;               // ended after they were established
    std::uint64_t malformed_responses = 0;  // each ends its connection
    std::uint64_t unsolicited = 0;          // responses that match no open request
    std::uint64_t local_failures = 0;  // this machine had no descriptor, port or the like for a connection
    std::uint64_t rewritten = 0;       // requests re-encoded before sending, with their current time left
    std::uint64_t discarded = 0;       // connections reset because the kernel held cancelled requests
    std::uint64_t evicted = 0;         // idle connections closed to make room for others
    std::uint64_t waited = 0;          // requests that waited for a connection at the limit
    std::uint64_t wait_timeouts = 0;   // of these, the ones that got none in time

private:
    bool make_room_for_first();
    bool make_room_for_further();
    std::list<PooledConnection*>::iterator find_idle_spare();
    void evict(std::list<PooledConnection*>::iterator idle);
    void schedule_serving();
    void serve();

    net::Loop& loop_;
    std::size_t max_connections_ = 64;
    std::size_t open_connections_ = 0;
    std::list<PooledConnection*> idle_;  // the one idle for longest first
    std::deque<ConnectionWaiter*> waiting_;
    net::TimerId serve_timer_ = 0;
};

}  // namespace gatetiller::node
