// One connection to an engine: writes requests, reads responses, and, when the connection ends, determines
// for each open request whether it may have been executed.
//
// A request may be withdrawn until its first byte is written to the kernel. A connection on which a request
// was cancelled is retired: it accepts no new requests and closes once none is open, so that a late response
// can't be mistaken for that of another attempt.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decide/connection_choice.hpp"
#include "decide/engine_exchange.hpp"
#include "net/loop.hpp"
#include "node/connection_pool.hpp"
#include "node/engine_response.hpp"
#include "node/exchange.hpp"

namespace gatetiller::node {

class EngineConnection;

class EngineConnectionOwner {
public:
    virtual ~EngineConnectionOwner() = default;
    // The connection has ended or is no longer usable. It may be destroyed in this call.
    virtual void release(EngineConnection& connection) = 0;
    // A request on the connection has ended, so that it may take another one.
    virtual void on_request_ended() = 0;
    // Returns the number of connections to the engine.
    virtual std::size_t size() const = 0;
};

class EngineConnection final : public net::StreamEvents, public PooledConnection {
public:
    // Starts connecting; `connect_timeout` is in microseconds. The loop, the pool and the owner must outlive
    // the connection.
    EngineConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout,
                     ConnectionPool& pool, EngineConnectionOwner& owner);
    ~EngineConnection() override;
    EngineConnection(const EngineConnection&) = delete;
    EngineConnection& operator=(const EngineConnection&) = delete;

    // Queues a request, which is sent once the connection is established.
    void enqueue(Exchange& exchange, const Exchange::Request& request);
    // Returns the state from which a connection is chosen for the request with this id.
    decide::ConnectionSnapshot snapshot(const std::string& id) const;
    std::size_t open_requests() const {
        return open_.size();
    }
    // Returns whether the kernel holds unacknowledged bytes of an open request.
    bool has_unacknowledged_request() const;
    // Ends the connection and each open request, with the status that follows for it. Destroys `this`.
    void abort(const char* reason);
    // Removes all open requests without notifying anyone.
    void detach_all();

    // PooledConnection
    bool has_sibling() const override {
        return owner_.size() > 1;
    }
    void close_idle() override {
        owner_.release(*this);
    }

    // The operations of Exchange of the same names, for an exchange that is open on this connection.
    void set_priority(Exchange& exchange, int level);
    bool withdraw_unsent(Exchange& exchange);
    bool reset_partial(Exchange& exchange);
    bool discard_unacknowledged(Exchange& exchange);
    std::string describe(const Exchange& exchange) const;
    // Cancels the request at the engine.
    void cancel(Exchange& exchange);

private:
    enum class StreamState {
        open,   // a partly sent request may still be sent completely on close
        ended,  // nothing more is sent
    };

    // net::StreamEvents
    void on_connected() override;
    void on_data(Buffer& in) override;
    void on_closed(net::Closed reason) override;
    void on_sending(std::size_t max_bytes) override;
    void on_sent() override {
        unsent_.clear();
    }

    // Sending. The functions that return a size return the bytes of the request to be sent, or 0 if it was
    // withdrawn.
    std::size_t prepare_for_sending(Exchange& exchange);
    std::size_t rewrite_if_stale(Exchange& exchange);
    void withdraw_while_sending(Exchange& exchange);
    void finish_as_not_sent(const std::string& id);
    net::SendId send(std::string bytes);
    void schedule_abort(const char* reason);

    // Responses. The functions return false if this connection has been destroyed.
    bool on_response(const EngineResponse& response);
    bool on_progress(Exchange& exchange, const decide::ResponseFields& fields);
    bool on_first_page(Exchange& exchange, const decide::ResponseFields& fields,
                       const EngineResponse& response);
    void request_further_pages(Exchange& exchange);
    bool on_further_page(Exchange& exchange, const decide::ResponseFields& fields,
                         const EngineResponse& response);
    bool on_failure(Exchange& exchange, const decide::ResponseFields& fields, const EngineResponse& response);
    bool on_unsolicited();
    bool end_malformed(const char* reason);
    bool end_malformed(const char* reason, const EngineResponse& response);
    bool finish_if_complete(Exchange& exchange);
    bool finish(Exchange& exchange, decide::ExchangeResult result);

    void remove(Exchange& exchange);
    void remove_and_retire(Exchange& exchange);
    bool close_if_unused();
    bool has_unacknowledged_bytes() const;
    bool has_unacknowledged_bytes(const Exchange& exchange) const;
    bool is_silent(const Exchange& exchange) const;
    void discard();
    void end_all(decide::ConnectionEnd end, StreamState stream_state, const char* reason);

    std::string name() const;
    std::size_t unsent_bytes() const {
        return stream_ ? stream_->unsent() : 0;
    }
    void trace(const std::string& event) const;

    net::Loop& loop_;
    std::string address_;
    ConnectionPool& pool_;
    EngineConnectionOwner& owner_;
    std::uint64_t connection_number_;  // sequential over all connections of the front node; for logs
    Micros opened_at_;
    Micros last_used_at_;
    bool connected_ = false;
    std::unique_ptr<net::Stream> stream_;
    std::map<std::string, Exchange*> open_;
    // Open requests not yet known to be completely written to the kernel, in sending order.
    std::vector<Exchange*> unsent_;
    // All ids sent on this connection: a second attempt of the same request uses another connection.
    std::set<std::string> sent_ids_;
    bool retired_ = false;
    bool cancelled_silent_request_ = false;  // see is_silent()
    std::size_t bytes_queued_ = 0;           // total bytes passed to the stream
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace gatetiller::node
