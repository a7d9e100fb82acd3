// The requests to one engine that wait for a connection, in the order in which they began to wait.
#pragma once

#include <cstddef>
#include <vector>

#include "net/loop.hpp"
#include "node/connection_pool.hpp"
#include "node/exchange.hpp"

namespace gatetiller::node {

class ExchangeQueue {
public:
    // `max_wait`: microseconds after which a request ends as not sent. The pool counts the requests that
    // wait. The loop and the pool must outlive the queue.
    ExchangeQueue(net::Loop& loop, ConnectionPool& pool, Micros max_wait)
        : loop_(loop), pool_(pool), max_wait_(max_wait) {}
    // Removes all requests without notifying their callers.
    ~ExchangeQueue();
    ExchangeQueue(const ExchangeQueue&) = delete;
    ExchangeQueue& operator=(const ExchangeQueue&) = delete;

    void add(Exchange& exchange);
    // Removes a request that is withdrawn or gets a connection.
    void remove(Exchange& exchange);
    // Removes a request and ends it as not sent; no effect if it no longer waits. The reason is for logs.
    void end(Exchange* exchange, const char* reason);
    void end_all(const char* reason);

    bool empty() const {
        return waiting_.empty();
    }
    std::size_t size() const {
        return waiting_.size();
    }
    const std::vector<Exchange*>& waiting() const {
        return waiting_;
    }

private:
    net::Loop& loop_;
    ConnectionPool& pool_;
    Micros max_wait_;
    std::vector<Exchange*> waiting_;
};

}  // namespace gatetiller::node
