#include "node/engine_connections.hpp"

#include <algorithm>

namespace gatetiller::node {

EngineConnections::EngineConnections(net::Loop& loop, net::Address address, decide::ConnectionLimits limits,
                                     ConnectionPool& pool)
    : loop_(loop), address_(std::move(address)), limits_(limits), pool_(pool) {}

EngineConnections::~EngineConnections() {
    for (const auto& connection : connections_)
        connection->detach_all();
}

void EngineConnections::end_all(const char* reason) {
    while (!connections_.empty())
        connections_.front()->abort(reason);
}

void EngineConnections::end_unacknowledged(const char* reason) {
    std::vector<EngineConnection*> unacknowledged;
    for (const auto& connection : connections_)
        if (connection->has_unacknowledged_request())
            unacknowledged.push_back(connection.get());
    for (EngineConnection* const connection : unacknowledged) {
        // Ending one connection may have released another.
        const bool exists = std::any_of(connections_.begin(), connections_.end(), [&](const auto& candidate) {
            return candidate.get() == connection;
        });
        if (exists)
            connection->abort(reason);
    }
}

std::size_t EngineConnections::requests_in_flight() const {
    std::size_t requests = 0;
    for (const auto& connection : connections_)
        requests += connection->open_requests();
    return requests;
}

EngineConnection& EngineConnections::select_connection(const std::string& id) {
    std::vector<decide::ConnectionSnapshot> snapshots;
    snapshots.reserve(connections_.size());
    for (const auto& connection : connections_)
        snapshots.push_back(connection->snapshot(id));
    const auto choice = decide::choose_connection(snapshots, loop_.now(), limits_);
    const auto has_capacity = [this] {
        return pool_.open_connections < pool_.max_connections || (pool_.evict_idle && pool_.evict_idle());
    };
    if (choice.reuse) {
        // has_capacity() may evict an idle connection, which changes the indices.
        EngineConnection* const reused = connections_[*choice.reuse].get();
        if (!choice.open_if_capacity || !has_capacity())
            return *reused;
    }
    EngineConnectionOwner& owner = *this;
    connections_.push_back(
        std::make_unique<EngineConnection>(loop_, address_, limits_.connect_timeout, pool_, owner));
    return *connections_.back();
}

std::unique_ptr<Exchange> EngineConnections::send_request(const decide::AttemptPermit&, const std::string& id,
                                                          Exchange::Events& events) {
    const auto request = events.current_request();
    if (!request)
        return nullptr;
    std::unique_ptr<Exchange> exchange(new Exchange(id, events));
    select_connection(id).enqueue(*exchange, *request);
    return exchange;
}

void EngineConnections::release(EngineConnection& connection) {
    const auto found = std::find_if(connections_.begin(), connections_.end(), [&](const auto& candidate) {
        return candidate.get() == &connection;
    });
    if (found == connections_.end())
        return;
    const auto released = std::move(*found);  // destroyed when this returns
    connections_.erase(found);
}

void EngineConnections::close_expiring_idle() {
    std::erase_if(connections_, [&](const auto& connection) {
        return decide::near_idle_timeout(connection->snapshot(""), loop_.now(), limits_);
    });
}

bool EngineConnections::evict_idle_connection() {
    const auto idle = std::find_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->open_requests() == 0;
    });
    if (idle == connections_.end())
        return false;
    connections_.erase(idle);
    return true;
}

}  // namespace gatetiller::node
