// The connections to one engine. Which connection a request goes out on is decided in
// decide/connection_choice.hpp.
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
    // The loop and the pool outlive it.
    EngineConnections(net::Loop& loop, net::Address address, decide::ConnectionLimits limits,
                      ConnectionPool& pool);
    // Drops what is open without a call to its owners.
    ~EngineConnections() override;
    EngineConnections(const EngineConnections&) = delete;
    EngineConnections& operator=(const EngineConnections&) = delete;

    // Ends all connections, and what is open on each with what that proves. The reason goes to logs.
    void end_all(const char* reason);
    // The same, of the connections on which the kernel holds unacknowledged bytes of an open request.
    void end_unacknowledged(const char* reason);
    // Sends a request, which only a permit allows. Its end comes in a later turn, never from within this
    // call. Null where the request's owner has none to send any more.
    std::unique_ptr<Exchange> send_request(const decide::AttemptPermit& permit, const std::string& id,
                                           Exchange::Events& events);
    std::size_t size() const {
        return connections_.size();
    }
    std::size_t requests_in_flight() const;
    // Closes those that have been idle for nearly as long as the engine leaves them open.
    void close_expiring_idle();
    // Closes one idle connection, so that one to another engine may be opened; false: none is idle.
    bool evict_idle_connection();

private:
    void release(EngineConnection& connection) override;
    EngineConnection& choose(const std::string& id);

    net::Loop& loop_;
    net::Address address_;
    decide::ConnectionLimits limits_;
    ConnectionPool& pool_;
    std::vector<std::unique_ptr<EngineConnection>> connections_;
};

}  // namespace gatetiller::node
