#include "node/connection_pool.hpp"

#include <algorithm>

namespace gatetiller::node {

void ConnectionPool::set_max_connections(std::size_t max_connections) {
    max_connections_ = max_connections;
    schedule_serving();
}

bool ConnectionPool::make_room(Eviction eviction) {
    return waiting_.empty() && (open_connections_ < max_connections_ || evict(eviction));
}

// Returns whether there is room for one more connection. The limit may have been lowered below the number of
// connections: then more than one has to end.
bool ConnectionPool::evict(Eviction eviction) {
    while (open_connections_ >= max_connections_) {
        auto chosen = std::find_if(idle_.begin(), idle_.end(), [](const PooledConnection* connection) {
            return connection->has_sibling();
        });
        if (chosen == idle_.end() && eviction == Eviction::any)
            chosen = idle_.begin();
        if (chosen == idle_.end())
            return false;
        ++evicted;
        (*chosen)->close_idle();
    }
    return true;
}

void ConnectionPool::wait(ConnectionWaiter& waiter) {
    if (std::find(waiting_.begin(), waiting_.end(), &waiter) == waiting_.end())
        waiting_.push_back(&waiter);
}

void ConnectionPool::cancel_wait(ConnectionWaiter& waiter) {
    std::erase(waiting_, &waiter);
}

void ConnectionPool::on_idle(PooledConnection& connection) {
    idle_.push_back(&connection);
    schedule_serving();
}

void ConnectionPool::on_busy(PooledConnection& connection) {
    idle_.remove(&connection);
}

void ConnectionPool::on_ended(PooledConnection& connection) {
    idle_.remove(&connection);
    --open_connections_;
    schedule_serving();
}

// Waiting engines are served in a later turn, as the caller may be in the middle of a change of its
// connections.
void ConnectionPool::schedule_serving() {
    if (waiting_.empty() || serve_timer_ != 0)
        return;
    serve_timer_ = loop_.after(0, [this] {
        serve_timer_ = 0;
        serve();
    });
}

void ConnectionPool::serve() {
    while (!waiting_.empty() && evict(Eviction::any)) {
        ConnectionWaiter& waiter = *waiting_.front();
        waiting_.pop_front();
        waiter.on_capacity();
    }
}

}  // namespace gatetiller::node
