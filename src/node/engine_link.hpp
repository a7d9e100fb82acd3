// The connections to one engine, and the requests out on them. Which connection a request goes out on is
// decided in decide/engine_connections.hpp.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/engine_connections.hpp"
#include "decide/exchange.hpp"
#include "net/loop.hpp"
#include "policy/brain.hpp"

namespace gatetiller::node {

// What all links of a front node share.
struct LinkPool {
    std::size_t most = 64, open = 0;  // connections
    std::function<bool()> make_room;  // closes an idle one somewhere; false: none is idle
    std::uint64_t opened = 0, refused = 0, broken = 0, spoilt = 0, unasked = 0;
};

class EngineLink;

// One request out at an engine. Destroying it gives it up, where it is not over.
class Exchange {
public:
    struct Events {
        virtual ~Events() = default;
        virtual void on_note(NoteTopic topic, double value) = 0;
        virtual void on_end(
            decide::ExchangeEnd end) = 0;  // the last call; the exchange may be destroyed in it
    };
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    void priority(int level);
    // Takes the request back where nothing of it has gone out yet: then it never ran, and it is over without
    // a further call. Whether that was so.
    bool take_back();

private:
    friend class EngineLink;
    struct Connection;
    Exchange(std::string id, Events& events) : id_(std::move(id)), events_(events) {}

    std::string id_;
    Events& events_;
    Connection* on_ = nullptr;  // none: it is over
    net::SendId asked_ = 0;             // its request among what its connection sends
    std::vector<net::SendId> changes_;  // of its priority, likewise
    decide::ResultPages pages_;
    decide::ExchangeEnd served_;  // as its first answer told; good once every page is there
};

class EngineLink {
public:
    EngineLink(net::Loop& loop, net::Address address, decide::LinkLimits limits, LinkPool& pool);
    ~EngineLink();  // gives up what is open without a word to its owners
    void end_all(const char* why);  // ends what is open, each with what that proves
    EngineLink(const EngineLink&) = delete;
    EngineLink& operator=(const EngineLink&) = delete;

    // Sends a request. `fields` as on the wire. Its end comes in a later turn, never from within this call.
    std::unique_ptr<Exchange> ask(const std::string& id, const std::string& fields, std::string_view body,
                                  Exchange::Events& events);
    std::size_t connections() const { return connections_.size(); }
    std::size_t open() const;  // requests out
    void close_idle();         // those idle for nearly as long as the engine leaves them open
    bool drop_one_idle();      // to make room for another engine's; false: none is idle

private:
    friend class Exchange;
    Exchange::Connection* choose(const std::string& id);
    void over(Exchange::Connection& c);  // has ended or is of no further use: closed and freed

    net::Loop& loop_;
    net::Address address_;
    decide::LinkLimits limits_;
    LinkPool& pool_;
    std::vector<std::unique_ptr<Exchange::Connection>> connections_;
};

}  // namespace gatetiller::node
