// The server side: connections, keep-alive, pipelining (one request at a time, in order), time-outs and
// limits. A handler gets each whole request along with a Reply, which it may keep and send later.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "http/parser.hpp"
#include "net/loop.hpp"

namespace gatetiller::http {

struct ServerOptions {
    Limits limits{.body = 4 * 1024 * 1024};
    Micros header_time_out = 10 * kSecondMicros;  // from a request's first byte to the end of its header
    Micros body_time_out = 30 * kSecondMicros;    // and from there to the end of its body
    Micros idle_time_out = 75 * kSecondMicros;    // between two requests
    Micros write_time_out = 30 * kSecondMicros;   // an answer of which the client takes nothing for so long
    std::size_t connections = 20'000;             // more are closed at once
};

struct ServerCounts {  // each way to end, counted by itself
    std::uint64_t accepted = 0, over_limit = 0, requests = 0, malformed = 0, header_timed_out = 0,
                  body_timed_out = 0, idle_timed_out = 0, write_timed_out = 0, reset = 0;
};

class Server {
    struct Connection;

public:
    // Answers one request once. Destroyed without an answer it answers 500. Sending to a client who has left
    // does nothing.
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
        bool open() const;        // the client still waits for it
        void break_connection();  // in place of an answer
        // Called once if the connection ends before the answer was sent.
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
    // Every answer from now on closes its connection; idle ones close at once.
    void drain();
    // For stand-ins with faults. Mute: requests are handled, but no answer leaves; once unmuted those
    // connections break.
    void suppress_responses(bool on);
    // And: answers leave a few bytes at a time, or break off in the middle. `cuts` is asked for each answer.
    struct ResponseFaults {
        std::size_t trickle_bytes = 0;  // 0: whole
        Micros trickle_every = 10 * kMillisecond;
        std::function<bool()> cuts;
    };
    void inject_faults(ResponseFaults m) {
        faults_ = std::move(m);
    }
    void close_all();  // resets every connection
    std::size_t connections() const {
        return connections_.size();
    }
    const ServerCounts& counts() const {
        return counts_;
    }

private:
    void accept(std::unique_ptr<net::Stream> stream);

    net::Loop& loop_;
    ServerOptions options_;
    Handler handler_;
    bool draining_ = false, mute_ = false;
    ResponseFaults faults_;
    std::uint64_t last_ = 0;
    ServerCounts counts_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;
};

}  // namespace gatetiller::http
