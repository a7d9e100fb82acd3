// The connections to one engine, and the requests out on them. Which connection a request goes out on is
// decided in decide/connection_choice.hpp.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/attempt_guard.hpp"
#include "decide/connection_choice.hpp"
#include "decide/engine_exchange.hpp"
#include "net/loop.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::node {

// What all links of a front node share.
struct LinkPool {
    std::size_t most = 64, open = 0;  // connections
    std::function<bool()> make_room;  // closes an idle one somewhere; false: none is idle
    std::uint64_t opened = 0, refused = 0, broken = 0, spoilt = 0, unasked = 0;
    std::uint64_t lacked = 0;     // connections that this machine had no descriptor, port or the like for
    std::uint64_t renewed = 0;    // requests that waited to go out and were written anew
    std::uint64_t discarded = 0;  // connections reset since the kernel held what was given up
    std::function<void(const std::string&)>
        trace;  // a line for each connection's beginning and end; may be absent
};

class EngineLink;

// One request out at an engine. Destroying it gives it up, where it is not over.
class Exchange {
public:
    struct Events {
        virtual ~Events() = default;
        virtual void on_note(ProgressKind topic, double value) = 0;
        virtual void on_end(
            decide::ExchangeResult end) = 0;  // the last call; the exchange may be destroyed in it
        // The request as it stands now, with the time that is left; nothing where there is none. Asked again
        // for one that has waited.
        struct Request {
            std::string fields;  // as on the wire
            std::string_view body;
        };
        virtual std::optional<Request> request() = 0;
        // Its first bytes are about to go to the kernel on that connection. False: it may not begin any more,
        // and ends unsent.
        virtual bool may_begin(std::uint64_t connection) = 0;
    };
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    void priority(int level);
    // Takes the request back where nothing of it has gone out yet: then it never ran, and it is over without
    // a further call. Whether that was so.
    bool take_back();
    // The same, and of a request that has gone out in part the rest is held back too, at the price of its
    // connection: an engine runs nothing less than a whole one.
    bool withhold();
    // Ends its connection with a reset where the kernel holds bytes of it that the engine has not
    // acknowledged, and nothing else is out there: they never arrive. Whether that was so; then it is over
    // without a further call. It may have run all the same, as acknowledgements get lost too.
    bool discard_unacknowledged();
    // For logs: its connection and how far the request has gone out.
    std::string state() const;

private:
    friend class EngineLink;
    struct Connection;
    Exchange(std::string id, Events& events) : id_(std::move(id)), events_(events) {}

    std::string id_;
    Events& events_;
    Connection* on_ = nullptr;          // none: it is over
    net::SendId asked_ = 0;             // its request among what its connection sends
    std::size_t size_ = 0;              // of that request
    std::size_t ends_at_ = 0;           // in all that its connection was given to send
    bool heard_ = false;                // its engine has said something of it
    Micros written_at_ = 0;             // when the request was written down; its deadline counts from then
    std::vector<net::SendId> changes_;  // of its priority, likewise
    decide::ResultPages pages_;
    decide::ExchangeResult served_;  // as its first answer told; good once every page is there
};

class EngineLink {
public:
    EngineLink(net::Loop& loop, net::Address address, decide::ConnectionLimits limits, LinkPool& pool);
    ~EngineLink();                  // gives up what is open without a word to its owners
    void end_all(const char* why);  // ends what is open, each with what that proves
    // The same, of the connections on which the kernel holds bytes that the engine has not acknowledged.
    void end_unacknowledged(const char* why);
    EngineLink(const EngineLink&) = delete;
    EngineLink& operator=(const EngineLink&) = delete;

    // Sends a request. Its end comes in a later turn, never from within this call.
    std::unique_ptr<Exchange> ask(const decide::AttemptPermit& permit, const std::string& id,
                                  Exchange::Events& events);
    std::size_t connections() const {
        return connections_.size();
    }
    std::size_t open() const;  // requests out
    void close_idle();         // those idle for nearly as long as the engine leaves them open
    bool drop_one_idle();      // to make room for another engine's; false: none is idle

private:
    friend class Exchange;
    Exchange::Connection* choose(const std::string& id);
    void over(Exchange::Connection& c);  // has ended or is of no further use: closed and freed

    net::Loop& loop_;
    net::Address address_;
    decide::ConnectionLimits limits_;
    LinkPool& pool_;
    std::vector<std::unique_ptr<Exchange::Connection>> connections_;
};

}  // namespace gatetiller::node
