// One request in flight at an engine, as its owner sees it.
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
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

class EngineConnection;

// Destroying it cancels the request at the engine, where it is not over.
class Exchange {
public:
    struct Request {
        std::string fields;     // as on the wire
        std::string_view body;  // the statement; must outlive the call that returns it
    };

    // Who is notified; must outlive the exchange.
    class Events {
    public:
        virtual ~Events() = default;
        virtual void on_progress(ProgressKind kind, double value) = 0;
        // The last call; the exchange may be destroyed in it.
        virtual void on_end(decide::ExchangeResult result) = 0;
        // The request as it stands now, with the time that is left; nothing where it must not be sent any
        // more. Called again for a request that has waited before it is written.
        virtual std::optional<Request> current_request() = 0;
        // Its first bytes are about to go to the kernel on that connection. False: it may not begin any more,
        // and ends as not sent.
        virtual bool may_begin(std::uint64_t connection) = 0;
    };

    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    // Changes the priority of a request whose result has not begun to arrive.
    void set_priority(int level);
    // Withdraws the request where the kernel has none of it: then it never ran, and it is over without a
    // further call. Returns whether that was so.
    bool withdraw_unsent();
    // As withdraw_unsent(), and a request of which the kernel has only a part is cut off as well, which costs
    // its connection: an engine runs complete requests only.
    bool reset_partial();
    // Resets its connection where the kernel holds bytes of it that the engine has not acknowledged, and no
    // other request is open there: they never arrive. Returns whether that was so; then it is over without a
    // further call. It may have run all the same, as acknowledgements get lost too.
    bool discard_unacknowledged();
    // For logs: its connection and how far the request has been sent.
    std::string describe() const;

private:
    friend class EngineConnection;
    friend class EngineConnections;
    Exchange(std::string id, Events& events) : id_(std::move(id)), events_(events) {}

    std::string id_;
    Events& events_;
    EngineConnection* connection_ = nullptr;  // null: it is over
    net::SendId request_send_ = 0;            // the request among what its connection sends
    std::size_t request_bytes_ = 0;           // size of that request
    std::size_t ends_at_byte_ = 0;            // its end among all bytes given to the connection
    bool has_response_ = false;               // the engine has sent something about it
    Micros written_at_ = 0;                   // when the request was written; its time left counts from then
    std::vector<net::SendId> priority_changes_;  // sent behind the request
    decide::ResultPages pages_;
    decide::ExchangeResult result_;  // from its first page; valid once every page is there
};

}  // namespace gatetiller::node
