#include "node/connection_pool.hpp"

#include <algorithm>

namespace gatetiller::node {
namespace {

// This part of the limit is kept for engines without a connection.
constexpr std::size_t kShareDivisorForFirst = 4;

}  // namespace

void ConnectionPool::set_max_connections(std::size_t max_connections) {
    max_connections_ = max_connections;
    schedule_serving();
}

bool ConnectionPool::make_room(Purpose purpose) {
    if (!waiting_.empty())
        return false;
    return purpose == Purpose::first ? make_room_for_first() : make_room_for_further();
}

// The limit may have been lowered below the number of connections: then more than one has to end.
bool ConnectionPool::make_room_for_first() {
    while (open_connections_ >= max_connections_) {
        const auto spare = find_idle_spare();
        const auto chosen = spare != idle_.end() ? spare : idle_.begin();
        if (chosen == idle_.end())
            return false;
        evict(chosen);
    }
    return true;
}

bool ConnectionPool::make_room_for_further() {
    if (open_connections_ < max_connections_ - max_connections_ / kShareDivisorForFirst)
        return true;
    const auto spare = find_idle_spare();
    if (open_connections_ > max_connections_ || spare == idle_.end())
        return false;
    evict(spare);
    return true;
}

std::list<PooledConnection*>::iterator ConnectionPool::find_idle_spare() {
    return std::find_if(idle_.begin(), idle_.end(), [](const PooledConnection* connection) {
        return connection->has_sibling();
    });
}

void ConnectionPool::evict(std::list<PooledConnection*>::iterator idle) {
    ++evicted;
    (*idle)->close_idle();
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
    while (!waiting_.empty() && make_room_for_first()) {
        ConnectionWaiter& waiter = *waiting_.front();
        waiting_.pop_front();
        waiter.on_capacity();
    }
}

}  // namespace gatetiller::node
