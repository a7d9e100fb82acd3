// The handle of one request in flight at an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decide/engine_exchange.hpp"
#include "net/loop.hpp"
#include "node/result_budget.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

class EngineConnection;
class ExchangeQueue;

// Destroying an exchange that has not ended cancels the request at the engine.
class Exchange {
public:
    struct Request {
        std::string fields;     // in wire format
        std::string_view body;  // the statement; must outlive the call that returns it
    };

    // Receives the events of an exchange; must outlive it.
    class Events {
    public:
        virtual ~Events() = default;
        virtual void on_progress(ProgressKind kind, double value) = 0;
        // The last call; the exchange may be destroyed in it.
        virtual void on_end(decide::ExchangeResult result) = 0;
        // Returns the request with its current time left; nothing if it must no longer be sent. Called again
        // if the request has waited before it is written.
        virtual std::optional<Request> current_request() = 0;
        // Called when the first bytes are about to be written to the kernel on that connection. If it returns
        // false, the request must not begin any more and ends as not sent.
        virtual bool may_begin(std::uint64_t connection) = 0;
    };

    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    // Changes the priority of the request, unless its result has begun to arrive.
    void set_priority(int level);
    // Withdraws the request if none of it has been written to the kernel. Returns whether it was withdrawn:
    // then it was never executed, and the exchange has ended without a call to on_end().
    bool withdraw_unsent();
    // As withdraw_unsent(), but also ends a request of which only a part has been written to the kernel, by
    // resetting its connection. An engine executes only complete requests.
    bool reset_partial();
    // Resets the connection if the kernel holds bytes of the request that the engine has not acknowledged and
    // no other request is open on it, so that those bytes never arrive. Returns whether it did; then the
    // exchange has ended without a call to on_end(). The request may have been executed all the same, as
    // acknowledgements can be lost.
    bool discard_unacknowledged();
    // Returns the connection and how far the request has been sent, for logs.
    std::string describe() const;

private:
    friend class EngineConnection;
    friend class EngineConnections;
    friend class ExchangeQueue;
    Exchange(std::string id, Events& events) : id_(std::move(id)), events_(events) {}

    std::string id_;
    Events& events_;
    EngineConnection* connection_ = nullptr;  // null: the exchange waits for a connection, or has ended
    ExchangeQueue* queue_ = nullptr;          // in which it waits for a connection; null: it does not wait
    net::TimerId wait_timer_ = 0;             // limit on that wait
    net::SendId request_send_id_ = 0;         // identifies the request's bytes in the stream
    std::size_t request_bytes_ = 0;           // size of the encoded request
    std::size_t end_offset_ = 0;              // offset of its end in all bytes passed to the stream
    bool has_response_ = false;               // the engine has sent any message about it
    Micros written_at_ = 0;  // when the request was encoded with the time left at that moment
    std::vector<net::SendId> priority_changes_;  // queued behind the request
    decide::ResultPages pages_;
    ResultBudget::Reservation reservation_;  // for the pages after the first
    decide::ExchangeResult result_;          // from the first page; valid once all pages have arrived
};

}  // namespace gatetiller::node
