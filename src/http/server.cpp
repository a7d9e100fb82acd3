#include "http/server.hpp"

namespace gatetiller::http {
namespace {

constexpr int kServiceUnavailable = 503;
// Unsent bytes of a connection up to which its next request is handled.
constexpr std::size_t kMaxUnsentBetweenRequests = 64 * 1024;
// Responses up to this size are sent whatever waits already.
constexpr std::size_t kSmallResponseBytes = 16 * 1024;

Response lacks_memory_response(const std::string& reason) {
    Response response{kServiceUnavailable, {}, reason + "\n"};
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.headers.add("Retry-After", "1");
    return response;
}

}  // namespace

struct Server::Connection final : net::StreamEvents, std::enable_shared_from_this<Connection> {
    enum class Phase {
        idle,
        header,
        body,
        responding,
        closing
    };

    Connection(Server& s, std::uint64_t number, std::unique_ptr<net::Stream> from)
        : server(s), id(number), stream(std::move(from)), parser(Parser::Kind::request, s.options_.limits) {
        stream->set_input_budget(server.input_budget_);
        stream->events(*this);
        enter(Phase::idle);
    }
    ~Connection() override {
        server.loop_.cancel(timer);
    }

    void on_data(Buffer& in) override {
        const auto self = shared_from_this();  // a handler may close this connection
        read_requests(in);
        if (!stream)
            return;
        in.release_spare_capacity();
        const bool incomplete = phase == Phase::header || phase == Phase::body;
        server.input_budget_.update(id, in.memory() + (incomplete ? parser.held_bytes() : 0), incomplete);
        server.discard_excess_input();
    }

    // A client that does not read its responses gets no more of them: its requests wait in the stream.
    bool must_read_first() const {
        return phase == Phase::idle && stream->unsent() > kMaxUnsentBetweenRequests;
    }

    void read_requests(Buffer& in) {
        while (!must_read_first() &&
               (phase == Phase::idle || phase == Phase::header || phase == Phase::body)) {
            if (!parser.feed(in)) {
                if (parser.head_done() && phase != Phase::body) {
                    if (parser.expects_continue())
                        stream->send("HTTP/1.1 100 Continue\r\n\r\n");
                    enter(Phase::body);
                } else if (phase == Phase::idle && !parser.idle()) {
                    enter(Phase::header);
                }
                return;
            }
            if (parser.failed()) {
                ++server.counts_.malformed;
                return respond_and_close(parser.error_status(), parser.error());
            }
            ++server.counts_.requests;
            enter(Phase::responding);
            head_only = parser.request().method == "HEAD";
            close_after = !parser.keep_alive();
            Request request = std::move(parser.request());
            request.peer = stream->peer();
            server.handler_(request, Reply(weak_from_this(), ++serial));
            if (!stream)
                return;
        }
        // While a response is pending, further requests stay in the stream's buffer, which applies
        // back-pressure to the client.
        if (phase == Phase::closing)
            in.clear();
    }

    void respond(const Response& response) {
        if (server.suppress_responses_) {
            response_suppressed = true;
            return;
        }
        const bool close = close_after || server.draining_;
        std::string text = write(response, close, head_only);
        if (text.size() > kSmallResponseBytes &&
            server.unsent_bytes_ + text.size() > server.options_.unsent_bytes) {
            ++server.counts_.replaced;
            text =
                write(lacks_memory_response("too many responses are not read: try again"), close, head_only);
        }
        count_unsent(counted_unsent + text.size());
        if (server.faults_.cuts && server.faults_.cuts()) {
            stream->send(text.substr(0, text.size() / 2));
            disconnected = nullptr;
            return enter(Phase::closing);
        }
        if (server.faults_.trickle_bytes > 0)
            return trickle(std::make_shared<std::string>(std::move(text)), 0, close);
        stream->send(std::move(text));
        on_response_queued(close);
    }
    void trickle(std::shared_ptr<std::string> text, std::size_t from, bool close) {
        const std::size_t n = server.faults_.trickle_bytes > 0 ? server.faults_.trickle_bytes : text->size();
        stream->send(text->substr(from, n));
        if (from + n >= text->size())
            return on_response_queued(close);
        server.loop_.after(server.faults_.trickle_every, [weak = weak_from_this(), text, from, n, close] {
            if (const auto self = weak.lock(); self && self->stream)
                self->trickle(text, from + n, close);
        });
    }
    void on_response_queued(bool close) {
        disconnected = nullptr;
        unsent = stream->unsent();
        if (close)
            return enter(Phase::closing);
        parser.reset();
        enter(Phase::idle);
        stream->schedule_delivery();
    }
    void respond_and_close(int status, const std::string& error) {
        Response r{status, {}, error + "\n"};
        r.headers.add("Content-Type", "text/plain; charset=utf-8");
        respond_and_close(r);
    }
    void respond_and_close(const Response& response) {
        close_after = true, head_only = false;
        respond(response);
    }
    void discard_request() {
        ++server.counts_.discarded;
        server.input_budget_.remove(id);
        stream->discard_input();
        parser.reset();
        respond_and_close(lacks_memory_response("the requests of all clients are too long: try again"));
    }
    void count_unsent(std::size_t bytes) {
        server.unsent_bytes_ = server.unsent_bytes_ - counted_unsent + bytes;
        counted_unsent = bytes;
    }
    void on_sent() override {
        count_unsent(0);
        if (phase == Phase::closing)
            return end();
        stream->schedule_delivery();
    }
    void on_closed(net::Closed how) override {
        if (how == net::Closed::reset)
            ++server.counts_.reset;
        end();
    }
    void end() {
        const auto self = shared_from_this();
        count_unsent(0);
        server.input_budget_.remove(id);
        stream.reset();
        server.loop_.cancel(std::exchange(timer, 0));
        server.connections_.erase(id);
        if (const auto call = std::exchange(disconnected, nullptr))
            call();
    }

    // Uses one timer per connection, which checks on expiry whether the deadline was extended.
    void enter(Phase next) {
        phase = next;
        const ServerOptions& o = server.options_;
        const Micros duration = next == Phase::idle      ? o.idle_time_out
                                : next == Phase::header  ? o.header_time_out
                                : next == Phase::body    ? o.body_time_out
                                : next == Phase::closing ? o.write_time_out
                                                         : 0;
        deadline = duration > 0 ? server.loop_.now() + duration : 0;
        if (deadline > 0 && (timer == 0 || deadline < timer_due))
            arm(deadline);
    }
    void arm(Micros at) {
        server.loop_.cancel(timer);
        timer_due = at;
        timer = server.loop_.after(at - server.loop_.now(), [this] {
            on_timer();
        });
    }
    void on_timer() {
        timer = 0;
        const Micros now = server.loop_.now();
        if (deadline == 0)
            return;
        // A slow client is not timed out while its response makes progress.
        if (stream->unsent() > 0 && (phase == Phase::idle || phase == Phase::closing)) {
            if (stream->unsent() == unsent && now >= deadline) {
                ++server.counts_.write_timed_out;
                return end();
            }
            unsent = stream->unsent();
            deadline = now + server.options_.write_time_out;
            return arm(deadline);
        }
        if (now < deadline)
            return arm(deadline);
        if (phase == Phase::idle) {
            ++server.counts_.idle_timed_out;
            return end();
        }
        ++(phase == Phase::header ? server.counts_.header_timed_out : server.counts_.body_timed_out);
        respond_and_close(408,
                          phase == Phase::header ? "the header took too long" : "the body took too long");
    }

    Server& server;
    std::uint64_t id;
    std::unique_ptr<net::Stream> stream;
    Parser parser;
    Phase phase = Phase::idle;
    bool head_only = false, close_after = false, response_suppressed = false;
    std::uint64_t serial = 0;
    Micros deadline = 0, timer_due = 0;
    std::size_t unsent = 0;
    std::size_t counted_unsent = 0;  // of the server's unsent_bytes_
    net::TimerId timer = 0;
    std::function<void()> disconnected;
};

Server::Reply::~Reply() {
    if (open())
        send({500, {}, ""});
}

bool Server::Reply::open() const {
    const auto to = to_.lock();
    return to && to->stream && to->serial == serial_ && to->phase == Connection::Phase::responding;
}

void Server::Reply::send(const Response& response) {
    const auto to = to_.lock();
    if (open())
        to->respond(response);
    to_.reset();
}

void Server::Reply::break_connection() {
    if (const auto to = to_.lock(); open())
        to->end();
    to_.reset();
}

void Server::Reply::on_disconnect(std::function<void()> call) {
    if (open())
        to_.lock()->disconnected = std::move(call);
}

Server::Server(net::Loop& loop, ServerOptions options, Handler handler)
    : loop_(loop), options_(options), handler_(std::move(handler)), input_budget_(options.input_bytes) {}

Server::~Server() {
    for (auto& [id, connection] : connections_) {
        connection->disconnected = nullptr;
        connection->stream.reset();
    }
}

Result<net::Address> Server::listen(const net::Address& at) {
    auto listener = loop_.listen(at, [this](auto stream) {
        accept(std::move(stream));
    });
    if (!listener)
        return listener.failure();
    listeners_.push_back(std::move(*listener));
    return listeners_.back()->address();
}

void Server::accept(std::unique_ptr<net::Stream> stream) {
    ++counts_.accepted;
    if (connections_.size() >= options_.connections) {
        ++counts_.over_limit;
        return;
    }
    const std::uint64_t id = ++last_;
    connections_.emplace(id, std::make_shared<Connection>(*this, id, std::move(stream)));
}

void Server::discard_excess_input() {
    while (const auto largest = input_budget_.select_discard()) {
        const auto connection = connections_.at(*largest);
        connection->discard_request();
    }
}

void Server::suppress_responses(bool on) {
    if (!std::exchange(suppress_responses_, on) || on)
        return;
    std::vector<std::shared_ptr<Connection>> suppressed;
    for (auto& [id, c] : connections_)
        if (c->response_suppressed)
            suppressed.push_back(c);
    for (auto& c : suppressed)
        c->end();
}

void Server::close_all() {
    std::vector<std::shared_ptr<Connection>> all;
    for (auto& [id, c] : connections_)
        all.push_back(c);
    for (auto& c : all)
        c->end();
}

void Server::drain() {
    draining_ = true;
    stop_listening();
    std::vector<std::shared_ptr<Connection>> idle;
    for (auto& [id, c] : connections_)
        if (c->phase == Connection::Phase::idle && c->stream->unsent() == 0)
            idle.push_back(c);
    for (auto& c : idle)
        c->end();
}

}  // namespace gatetiller::http
