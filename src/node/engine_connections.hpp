// The connections to one engine. The connection for each request is chosen by decide/connection_choice.hpp. A
// request for which there is none waits until the pool has room for one more, or until a request on one of
// the others ends.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "decide/attempt_guard.hpp"
#include "decide/connection_choice.hpp"
#include "net/loop.hpp"
#include "node/engine_connection.hpp"
#include "node/exchange.hpp"
#include "node/exchange_queue.hpp"

namespace gatetiller::node {

class EngineConnections final : private EngineConnectionOwner, private ConnectionWaiter {
public:
    // The loop and the pool must outlive the connections.
    EngineConnections(net::Loop& loop, net::Address address, decide::ConnectionLimits limits,
                      ConnectionPool& pool);
    // Drops all open requests without notifying their callers.
    ~EngineConnections() override;
    EngineConnections(const EngineConnections&) = delete;
    EngineConnections& operator=(const EngineConnections&) = delete;

    // Ends all connections and their open requests, each with the status that follows for it. The reason is
    // for logs.
    void end_all(const char* reason);
    // The same, but only for connections on which the kernel holds unacknowledged bytes of an open request.
    void end_unacknowledged(const char* reason);
    // Sends a request, for which a permit is required. Its end is reported in a later turn, never within this
    // call. Returns null if `events` no longer has a request to send.
    std::unique_ptr<Exchange> send_request(const decide::AttemptPermit& permit, const std::string& id,
                                           Exchange::Events& events);
    std::size_t size() const override {
        return connections_.size();
    }
    // Includes the requests that wait for a connection.
    std::size_t requests_in_flight() const;
    // Closes connections that have been idle for nearly the engine's idle timeout.
    void close_expiring_idle();

private:
    // EngineConnectionOwner
    void release(EngineConnection& connection) override;
    void on_request_ended() override;
    // ConnectionWaiter
    void on_capacity() override;

    decide::ConnectionChoice choose(const std::string& id) const;
    EngineConnection* find_or_open(const std::string& id);
    EngineConnection& open_connection();
    void wait_for_connection(Exchange& exchange);
    void assign_waiting();

    net::Loop& loop_;
    net::Address address_;
    decide::ConnectionLimits limits_;
    ConnectionPool& pool_;
    std::vector<std::unique_ptr<EngineConnection>> connections_;
    ExchangeQueue queue_;
    net::TimerId assign_timer_ = 0;
};

}  // namespace gatetiller::node
