// The connections to one engine. The connection for each request is chosen by decide/connection_choice.hpp.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "decide/attempt_guard.hpp"
#include "decide/connection_choice.hpp"
#include "net/loop.hpp"
#include "node/engine_connection.hpp"
#include "node/exchange.hpp"

namespace gatetiller::node {

class EngineConnections final : private EngineConnectionOwner {
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
    std::size_t size() const {
        return connections_.size();
    }
    std::size_t requests_in_flight() const;
    // Closes connections that have been idle for nearly the engine's idle timeout.
    void close_expiring_idle();
    // Closes one idle connection, so that one to another engine may be opened. Returns false if none is idle.
    bool evict_idle_connection();

private:
    void release(EngineConnection& connection) override;
    EngineConnection& select_connection(const std::string& id);

    net::Loop& loop_;
    net::Address address_;
    decide::ConnectionLimits limits_;
    ConnectionPool& pool_;
    std::vector<std::unique_ptr<EngineConnection>> connections_;
};

}  // namespace gatetiller::node
