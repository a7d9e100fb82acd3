// The HTTP client: one Client per server, with a pool of idle connections. The outcome of a call states
// exactly how far it got, because whether it may be retried depends on whether the server can have received
// it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "http/parser.hpp"
#include "net/loop.hpp"

namespace gatetiller::http {

enum class CallOutcome {
    answered,              // received a complete response
    never_sent,            // connecting failed: the server has not received the request
    connect_timed_out,     // not sent: connecting timed out
    lacks_local_resource,  // not sent: this machine lacked a resource such as a descriptor or a port
    withdrawn,             // not sent: `may_begin` returned false before the first byte was written
    broken,     // the connection broke after sending, or the response was malformed: the request may have run
    timed_out,  // no complete response in time: the request may have run or still be running
};

struct Answer {
    CallOutcome outcome = CallOutcome::answered;
    Response response;  // if answered
    std::string error;  // otherwise: what failed
};

struct ClientOptions {
    Limits limits{};
    Micros connect_time_out = 250 * kMillisecond;
    Micros idle_time_out =
        20 * kSecondMicros;  // shorter than servers', so that no request is sent on a connection being closed
    std::size_t idle_connections = 64;
};

class Client {
    struct Connection;

public:
    using Done = std::function<void(Answer)>;
    // A call in flight. Destroying or cancelling it closes its connection, and Done is never called.
    class Call {
    public:
        Call() = default;
        Call(Call&& other) noexcept = default;
        Call& operator=(Call&& other) noexcept {
            if (this != &other)
                cancel(), connection_ = std::move(other.connection_), serial_ = other.serial_;
            return *this;
        }
        ~Call() {
            cancel();
        }
        void cancel();
        void detach();  // lets the call complete, calling Done; `may_begin` is no longer called
        // Cancels the call if no byte of its request has been sent, so that the server never receives it.
        // Returns whether it was cancelled.
        bool withdraw();
        bool active() const;

    private:
        friend class Client;
        Call(std::weak_ptr<Connection> connection, std::uint64_t serial)
            : connection_(std::move(connection)), serial_(serial) {}
        std::weak_ptr<Connection> connection_;
        std::uint64_t serial_ = 0;
    };

    Client(net::Loop& loop, net::Address server, ClientOptions options);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Called right before the first byte of a request is written; returns false to withdraw the request.
    using MayBegin = std::function<bool()>;
    // `time_out` covers the entire call including connecting; 0: none. Done is never called before send()
    // returns.
    Call send(const Request& request, Micros time_out, Done done, MayBegin may_begin = nullptr);
    const net::Address& server() const {
        return server_;
    }
    std::size_t open() const {
        return all_.size();
    }
    // Sets a callback for when the server or the network has closed the last established connection, as the
    // server process may have ended. Called before the Done of the call on that connection.
    void on_all_lost(std::function<void()> callback) {
        all_lost_ = std::move(callback);
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
