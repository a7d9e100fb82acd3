#include "node/engine_connections.hpp"

#include <algorithm>

namespace gatetiller::node {

EngineConnections::EngineConnections(net::Loop& loop, net::Address address, decide::ConnectionLimits limits,
                                     ConnectionPool& pool)
    : loop_(loop),
      address_(std::move(address)),
      limits_(limits),
      pool_(pool),
      queue_(loop, pool, limits.connect_timeout) {}

EngineConnections::~EngineConnections() {
    loop_.cancel(assign_timer_);
    pool_.cancel_wait(*this);
    for (const auto& connection : connections_)
        connection->detach_all();
}

void EngineConnections::end_all(const char* reason) {
    while (!connections_.empty())
        connections_.front()->abort(reason);
    queue_.end_all(reason);
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
    std::size_t requests = queue_.size();
    for (const auto& connection : connections_)
        requests += connection->open_requests();
    return requests;
}

// ---- The connection of a request

std::unique_ptr<Exchange> EngineConnections::send_request(const decide::AttemptPermit&, const std::string& id,
                                                          Exchange::Events& events) {
    const auto request = events.current_request();
    if (!request)
        return nullptr;
    std::unique_ptr<Exchange> exchange(new Exchange(id, events));
    if (EngineConnection* const connection = find_or_open(id))
        connection->enqueue(*exchange, *request);
    else
        wait_for_connection(*exchange);
    return exchange;
}

decide::ConnectionChoice EngineConnections::choose(const std::string& id) const {
    std::vector<decide::ConnectionSnapshot> snapshots;
    snapshots.reserve(connections_.size());
    for (const auto& connection : connections_)
        snapshots.push_back(connection->snapshot(id));
    return decide::choose_connection(snapshots, loop_.now(), limits_);
}

// Returns null if no connection is usable and none may be opened now.
EngineConnection* EngineConnections::find_or_open(const std::string& id) {
    const auto choice = choose(id);
    if (!choice.reuse)
        return pool_.make_room(ConnectionPool::Purpose::first) ? &open_connection() : nullptr;
    // make_room() may close an idle connection, which changes the indices.
    EngineConnection* const reused = connections_[*choice.reuse].get();
    if (!choice.open_if_capacity || !pool_.make_room(ConnectionPool::Purpose::further))
        return reused;
    return &open_connection();
}

EngineConnection& EngineConnections::open_connection() {
    EngineConnectionOwner& owner = *this;
    connections_.push_back(
        std::make_unique<EngineConnection>(loop_, address_, limits_.connect_timeout, pool_, owner));
    return *connections_.back();
}

void EngineConnections::wait_for_connection(Exchange& exchange) {
    queue_.add(exchange);
    pool_.wait(*this);
}

void EngineConnections::on_capacity() {
    if (queue_.empty())
        return;
    open_connection();
    assign_waiting();
}

// Assigned in a later turn, as the caller is in the middle of a change of its connection.
void EngineConnections::on_request_ended() {
    if (queue_.empty() || assign_timer_ != 0)
        return;
    assign_timer_ = loop_.after(0, [this] {
        assign_timer_ = 0;
        assign_waiting();
    });
}

// Sends the waiting requests on usable connections. Those for which none is usable go on waiting.
void EngineConnections::assign_waiting() {
    std::vector<Exchange*> not_needed;
    for (Exchange* const exchange : std::vector(queue_.waiting())) {
        const auto choice = choose(exchange->id_);
        if (!choice.reuse)
            continue;
        if (const auto request = exchange->events_.current_request()) {
            queue_.remove(*exchange);
            connections_[*choice.reuse]->enqueue(*exchange, *request);
        } else {
            not_needed.push_back(exchange);
        }
    }
    if (queue_.size() > not_needed.size())
        pool_.wait(*this);
    else
        pool_.cancel_wait(*this);
    for (Exchange* const exchange : not_needed)
        queue_.end(exchange, "the request waited for a connection until it was no longer needed");
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

}  // namespace gatetiller::node
