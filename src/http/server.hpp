// The HTTP server: connections, keep-alive, pipelining (one request at a time, in order), time-outs and
// limits. The handler receives each complete request with a Reply, which it may store and send later.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/parser.hpp"
#include "net/input_budget.hpp"
#include "net/loop.hpp"

namespace gatetiller::http {

struct ServerOptions {
    Limits limits{.body = 4 * 1024 * 1024};
    Micros header_time_out = 10 * kSecondMicros;  // from a request's first byte to the end of its header
    Micros body_time_out = 30 * kSecondMicros;    // from the end of the header to the end of the body
    Micros idle_time_out = 75 * kSecondMicros;    // between two requests
    Micros write_time_out = 30 * kSecondMicros;   // without progress of the client in reading a response
    std::size_t connections = 20'000;             // maximum; further ones are closed immediately
    // Bytes of incomplete requests of all connections, beyond which the largest ones are answered with 503.
    std::size_t input_bytes = 64 * 1024 * 1024;
    // Bytes of responses of all connections that the kernel has not accepted, beyond which large ones are
    // replaced by 503.
    std::size_t unsent_bytes = 256 * 1024 * 1024;
};

struct ServerCounts {  // separate counters for each cause of an end
    std::uint64_t accepted = 0, over_limit = 0, requests = 0, malformed = 0, header_timed_out = 0,
                  body_timed_out = 0, idle_timed_out = 0, write_timed_out = 0, reset = 0;
    // Requests that were discarded, and responses that were replaced by 503, for lack of memory.
    std::uint64_t discarded = 0, replaced = 0;
};

class Server {
    struct Connection;

public:
    // Sends the response to one request, once. Sends 500 if it is destroyed without a response. Sending to a
    // disconnected client has no effect.
    class Reply {
    public:
        Reply() = default;
        Reply(Reply&& other) noexcept : to_(std::exchange(other.to_, {})), serial_(other.serial_) {}
        Reply& operator=(Reply&& other) noexcept {
            std::swap(to_, other.to_);
            std::swap(serial_, other.serial_);
            return *this;
        }
        ~Reply();
        void send(const Response& response);
        bool open() const;        // whether the client still waits for the response
        void break_connection();  // closes the connection instead of responding
        // Sets a callback, called once if the connection ends before the response is sent.
        void on_disconnect(std::function<void()> call);

    private:
        friend class Server;
        Reply(std::weak_ptr<Connection> to, std::uint64_t serial) : to_(std::move(to)), serial_(serial) {}
        std::weak_ptr<Connection> to_;
        std::uint64_t serial_ = 0;
    };
    using Handler = std::function<void(Request&, Reply)>;

    Server(net::Loop& loop, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    Result<net::Address> listen(const net::Address& at);
    void stop_listening() {
        listeners_.clear();
    }
    // Stops listening and closes idle connections; each further response closes its connection.
    void drain();
    // For stand-in engines with faults: requests are handled, but no response is sent. Turning it off closes
    // the connections whose responses were suppressed.
    void suppress_responses(bool on);
    // For stand-in engines with faults: responses are sent a few bytes at a time, or truncated in the middle.
    // `cuts` is called for each response.
    struct ResponseFaults {
        std::size_t trickle_bytes = 0;  // 0: the complete response at once
        Micros trickle_every = 10 * kMillisecond;
        std::function<bool()> cuts;
    };
    void inject_faults(ResponseFaults faults) {
        faults_ = std::move(faults);
    }
    void close_all();  // closes every connection without finishing responses
    std::size_t connections() const {
        return connections_.size();
    }
    // Bytes of memory that hold requests which are not complete or not handled yet.
    std::size_t input_bytes() const {
        return input_budget_.held();
    }
    const ServerCounts& counts() const {
        return counts_;
    }

private:
    void accept(std::unique_ptr<net::Stream> stream);
    void discard_excess_input();

    net::Loop& loop_;
    ServerOptions options_;
    Handler handler_;
    bool draining_ = false, suppress_responses_ = false;
    ResponseFaults faults_;
    std::uint64_t last_ = 0;
    ServerCounts counts_;
    net::InputBudget input_budget_;
    std::size_t unsent_bytes_ = 0;  // of responses, each counted until the last of its connection is sent
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;
};

}  // namespace gatetiller::http
