// The client side: one Client for each server, with connections kept for reuse. The result of a call says
// exactly how far it came, since what may be tried again depends on whether the server can have seen it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "http/parser.hpp"
#include "net/loop.hpp"

namespace gatetiller::http {

enum class CallOutcome {
    answered,              // a whole response came
    never_sent,            // no connection came about: the server has not seen the request
    connect_timed_out,     // the same, after the time for connecting
    lacks_local_resource,  // the same, for want of a descriptor, a port or the like at this machine
    withdrawn,             // the same, as it might not begin any more when its first byte was to go out
    broken,  // the connection broke after the request went out, or the answer made no sense: it may have run
    timed_out,  // no whole answer in time: it may have run, or be running
};

struct Answer {
    CallOutcome outcome = CallOutcome::answered;
    Response response;  // where answered
    std::string error;  // else: what happened
};

struct ClientOptions {
    Limits limits{};
    Micros connect_time_out = 250 * kMillisecond;
    Micros idle_time_out =
        20 * kSecondMicros;  // shorter than servers': a request must not meet a closing connection
    std::size_t idle_connections = 64;
};

class Client {
    struct Connection;

public:
    using Done = std::function<void(Answer)>;
    // A call in flight. Destroying or cancelling it closes its connection, and Done is not called any more.
    class Call {
    public:
        Call() = default;
        Call(Call&& other) noexcept = default;
        Call& operator=(Call&& other) noexcept {
            if (this != &other)
                cancel(), of_ = std::move(other.of_), serial_ = other.serial_;
            return *this;
        }
        ~Call() {
            cancel();
        }
        void cancel();
        void detach();  // let it run to its end, Done included; whether it may begin is not asked any more
        // Cancels the call where nothing of its request has gone out yet: the server never sees it. Whether
        // that was so.
        bool withdraw();
        bool active() const;

    private:
        friend class Client;
        Call(std::weak_ptr<Connection> of, std::uint64_t serial) : of_(std::move(of)), serial_(serial) {}
        std::weak_ptr<Connection> of_;
        std::uint64_t serial_ = 0;
    };

    Client(net::Loop& loop, net::Address server, ClientOptions options);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Asked right before the first byte of a request goes out; false: nothing of it does.
    using MayBegin = std::function<bool()>;
    // `time_out` is for the whole call, connecting included; 0: none. Done is never called before this
    // returns.
    Call send(const Request& request, Micros time_out, Done done, MayBegin may_begin = nullptr);
    const net::Address& server() const {
        return server_;
    }
    std::size_t open() const {
        return all_.size();
    }
    // `told` each time that the server, or the network, has ended the last connection that was up: its
    // process may have gone. Before the Done of the call that was on it.
    void on_all_lost(std::function<void()> told) {
        all_lost_ = std::move(told);
    }

private:
    bool any_connected() const;

    net::Loop& loop_;
    net::Address server_;
    std::string host_;
    ClientOptions options_;
    std::vector<std::shared_ptr<Connection>> all_, idle_;
    std::function<void()> all_lost_;
};

}  // namespace gatetiller::http
