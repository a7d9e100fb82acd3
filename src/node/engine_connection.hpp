// One connection to an engine: writes requests, reads responses, and classifies what its end proves for each
// request that is open on it.
//
// A request may be withdrawn until the kernel has its first byte. A connection on which a request was
// cancelled is retired: it takes no new requests and closes once nothing is open on it, so that a late
// response can't be taken for another attempt's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decide/connection_choice.hpp"
#include "decide/engine_exchange.hpp"
#include "net/loop.hpp"
#include "node/exchange.hpp"

namespace gatetiller::node {

// What the connections to all engines share: their bound and their counters.
struct ConnectionPool {
    std::size_t max_connections = 64;
    std::size_t open_connections = 0;
    // Closes an idle connection to some engine; false: none is idle. May be absent.
    std::function<bool()> evict_idle;
    // A line for the beginning and the end of each connection. May be absent.
    std::function<void(const std::string&)> trace;

    // Counters since the start.
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;              // refused, unreachable or not up in time
    std::uint64_t broken = 0;               // ended after they were up
    std::uint64_t malformed_responses = 0;  // each ends its connection
    std::uint64_t unsolicited = 0;          // responses to no open request
    std::uint64_t local_failures = 0;  // this machine had no descriptor, port or the like for a connection
    std::uint64_t rewritten = 0;       // requests that waited to go out and got their new time left
    std::uint64_t discarded = 0;       // connections reset because the kernel held cancelled requests
};

class EngineConnection;

class EngineConnectionOwner {
public:
    virtual ~EngineConnectionOwner() = default;
    // It has ended or is of no further use; it may be destroyed in this call.
    virtual void release(EngineConnection& connection) = 0;
};

class EngineConnection final : public net::StreamEvents {
public:
    // The loop, the pool and the owner outlive it. Begins to connect; `connect_timeout` in microseconds.
    EngineConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout,
                     ConnectionPool& pool, EngineConnectionOwner& owner);
    ~EngineConnection() override;
    EngineConnection(const EngineConnection&) = delete;
    EngineConnection& operator=(const EngineConnection&) = delete;

    // Writes a request; it goes out once the connection is up.
    void begin(Exchange& exchange, const Exchange::Request& request);
    // For choosing a connection for the request of this id.
    decide::ConnectionSnapshot snapshot(const std::string& id) const;
    std::size_t open_requests() const {
        return open_.size();
    }
    // Whether the kernel holds unacknowledged bytes of an open request.
    bool holds_unacknowledged_request() const;
    // Ends the connection, and each open request with what that proves. `this` is gone afterwards.
    void abort(const char* reason);
    // Forgets all open requests without a call.
    void detach_all();

    // What Exchange offers, of the same names, for one that is open here.
    void set_priority(Exchange& exchange, int level);
    bool withdraw_unsent(Exchange& exchange);
    bool reset_partial(Exchange& exchange);
    bool discard_unacknowledged(Exchange& exchange);
    std::string describe(const Exchange& exchange) const;
    // Cancels the request at the engine.
    void cancel(Exchange& exchange);

private:
    struct Response {
        std::string id;
        std::string kind;
        std::string fields;
        std::string body;
    };
    enum class StreamState {
        open,   // what was begun may still be sent completely when it is closed
        ended,  // nothing more goes out
    };

    // net::StreamEvents
    void on_connected() override;
    void on_data(Buffer& in) override;
    void on_closed(net::Closed how) override;
    void on_sending(std::size_t most) override;
    void on_sent() override;

    // Sending. The sizes returned are of the request as it goes out; 0 where it does not.
    std::size_t prepare(Exchange& exchange);
    std::size_t rewrite_if_stale(Exchange& exchange);
    void withdraw_while_sending(Exchange& exchange);
    void end_as_not_sent(const std::string& id);
    net::SendId send(std::string bytes);
    void cut_off(const char* reason);

    // Responses; false: this connection is gone.
    bool on_response(const Response& response);
    bool on_progress(Exchange& exchange, const decide::ResponseFields& fields);
    bool on_first_page(Exchange& exchange, const decide::ResponseFields& fields, const Response& response);
    bool on_further_page(Exchange& exchange, const decide::ResponseFields& fields, const std::string& page);
    bool on_failure(Exchange& exchange, const decide::ResponseFields& fields, const Response& response);
    bool on_unsolicited();
    bool end_malformed(const char* reason);
    bool finish_if_complete(Exchange& exchange);
    bool finish(Exchange& exchange, decide::ExchangeResult result);

    void remove(Exchange& exchange);
    void give_up(Exchange& exchange);
    bool close_if_unused();
    bool holds_unacknowledged() const;
    bool holds_unacknowledged(const Exchange& exchange) const;
    bool is_silent(const Exchange& exchange) const;
    void discard();
    void end_all(decide::ConnectionEnd end, StreamState stream_state, const char* reason);

    std::string name() const;
    std::size_t unsent_bytes() const {
        return stream_ ? stream_->unsent() : 0;
    }
    void trace(const std::string& what) const;

    net::Loop& loop_;
    std::string address_;
    ConnectionPool& pool_;
    EngineConnectionOwner& owner_;
    std::uint64_t number_;  // among all that the front node opened; for logs
    Micros opened_at_;
    Micros last_used_at_;
    bool connected_ = false;
    std::unique_ptr<net::Stream> stream_;
    std::map<std::string, Exchange*> open_;
    // Of those open, what the kernel has not taken completely, as far as is known; in the order of sending.
    std::vector<Exchange*> unsent_;
    // Every id ever sent here: a second attempt of the same request goes to another connection.
    std::set<std::string> sent_ids_;
    bool retired_ = false;
    bool cancelled_silent_request_ = false;  // see is_silent()
    std::size_t bytes_given_ = 0;            // to the stream in all
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace gatetiller::node
