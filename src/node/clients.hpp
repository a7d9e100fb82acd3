// The client side of a front node: Thrift connections, their requests by number, and the bounds on them.
// Whoever is malformed is told so and closed here, once what was taken before is answered; what is whole goes
// to the handler. Connections are closed gracefully where a descriptor can be spared for it, and never while
// an answer is owed or on its way.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "decide/client_eviction.hpp"
#include "decide/client_sequence_numbers.hpp"
#include "decide/close_guard.hpp"
#include "decide/resource_limits.hpp"
#include "net/loop.hpp"
#include "thrift/service.hpp"

namespace gatetiller::node {

struct ClientCounters {
    std::uint64_t accepted = 0, malformed = 0, evicted = 0, overdue = 0, waits = 0;
    std::array<std::uint64_t, decide::kCloseReasons> closed{};  // by reason
};

class Clients {
public:
    using Id = std::uint64_t;  // of a connection; never used again
    struct Events {
        // `process`; to be answered by reply(). It may have waited unseen for so long.
        std::function<void(Id, thrift::Call, Micros unseen)> request;
        std::function<void(Id, std::int32_t seq)> given_up;  // no answer is owed any more
        // A connection is closed, by whom this front says; for logs.
        std::function<void(Id, const std::string& peer, decide::CloseReason, const decide::ClosingContext&)>
            closed;
        std::function<void(decide::Invariant, Id)> violated;  // a guard refused what was about to be done
    };
    Clients(net::Loop& loop, decide::ResourceLimits bounds, Events events);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    Result<net::Address> listen(const net::Address& at);
    // The answer to an open request, as a whole frame; passed over where the client has gone.
    void reply(Id id, std::int32_t seq, std::string frame);
    void bound(const decide::ResourceLimits& bounds) {
        bounds_ = bounds;
    }  // for whoever comes from now on
    // At a planned restart. From the first call of wind_down() on connections at rest are closed, as are
    // others once they are; to be called again and again, as is close_listener(): it takes in whoever waits
    // in the listen backlog first, as far as the table has room, so that the machine's acceptance is nobody's
    // last word. `now`: the listener closes whoever still waits.
    void accept_again();
    void wind_down();
    void close_listener(bool now);
    bool listens() const {
        return listener_ != nullptr;
    }
    std::size_t connections() const {
        return connections_.size();
    }
    const ClientCounters& counters() const {
        return counters_;
    }

private:
    struct Connection;
    void accepted(std::unique_ptr<net::Stream> stream);
    void make_room();
    std::pair<std::optional<decide::EvictionCandidate>, Id> next_to_leave() const;
    bool at_rest_now(Id id);
    bool close_one();  // false: nobody may be closed yet, and newcomers wait
    // Closed gracefully, where what is read at the last moment leaves it at rest.
    void close_at_rest(Id id, decide::CloseReason reason);
    void drop(Id id, decide::CloseReason reason);
    std::optional<decide::ClosePermit> may_close(const Connection& c, decide::CloseReason reason);
    void sweep();

    net::Loop& loop_;
    decide::ResourceLimits bounds_;
    decide::ClientTimeouts times_;
    Events events_;
    std::unique_ptr<net::Listener> listener_;
    std::unordered_map<Id, std::unique_ptr<Connection>> connections_;
    Id last_ = 0;
    ClientCounters counters_;
    Micros waiting_since_ = 0;  // newcomers may have waited in the kernel's queue since then; 0: none did
    net::TimerId timer_ = 0, resume_ = 0, caught_up_ = 0;
};

}  // namespace gatetiller::node
