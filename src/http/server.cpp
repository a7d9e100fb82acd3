#include "http/server.hpp"

namespace gatetiller::http {

struct Server::Connection final : net::StreamEvents, std::enable_shared_from_this<Connection> {
    enum class Phase {
        idle,
        header,
        body,
        answering,
        writing_last
    };

    Connection(Server& s, std::uint64_t number, std::unique_ptr<net::Stream> from)
        : server(s), id(number), stream(std::move(from)), parser(Parser::Kind::request, s.options_.limits) {
        stream->events(*this);
        enter(Phase::idle);
    }
    ~Connection() override {
        server.loop_.cancel(timer);
    }

    void on_data(Buffer& in) override {
        while (phase == Phase::idle || phase == Phase::header || phase == Phase::body) {
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
                return answer_and_close(parser.error_status(), parser.error());
            }
            ++server.counts_.requests;
            enter(Phase::answering);
            head_only = parser.request().method == "HEAD";
            close_after = !parser.keep_alive();
            Request request = std::move(parser.request());
            request.peer = stream->peer();
            const auto self = shared_from_this();  // the handler may end this connection
            server.handler_(request, Reply(self, ++serial));
            if (!stream)
                return;
        }
        // While an answer is due, further requests wait in the stream's buffer, which then holds back the
        // client.
        if (phase == Phase::writing_last)
            in.clear();
    }

    void answer(const Response& response) {
        if (server.mute_) {
            muted = true;
            return;
        }
        const bool close = close_after || server.draining_;
        std::string text = write(response, close, head_only);
        if (server.faults_.cuts && server.faults_.cuts()) {
            stream->send(text.substr(0, text.size() / 2));
            gone = nullptr;
            return enter(Phase::writing_last);
        }
        if (server.faults_.trickle_bytes > 0)
            return trickle(std::make_shared<std::string>(std::move(text)), 0, close);
        stream->send(std::move(text));
        answered(close);
    }
    void trickle(std::shared_ptr<std::string> text, std::size_t from, bool close) {
        const std::size_t n = server.faults_.trickle_bytes > 0 ? server.faults_.trickle_bytes : text->size();
        stream->send(text->substr(from, n));
        if (from + n >= text->size())
            return answered(close);
        server.loop_.after(server.faults_.trickle_every, [weak = weak_from_this(), text, from, n, close] {
            if (const auto self = weak.lock(); self && self->stream)
                self->trickle(text, from + n, close);
        });
    }
    void answered(bool close) {
        gone = nullptr;
        unsent = stream->unsent();
        if (close)
            return enter(Phase::writing_last);
        parser.reset();
        enter(Phase::idle);
        stream->schedule_delivery();
    }
    void answer_and_close(int status, const std::string& what) {
        Response r{status, {}, what + "\n"};
        r.headers.add("Content-Type", "text/plain; charset=utf-8");
        close_after = true, head_only = false;
        answer(r);
    }
    void on_sent() override {
        if (phase == Phase::writing_last)
            end();
    }
    void on_closed(net::Closed how) override {
        if (how == net::Closed::reset)
            ++server.counts_.reset;
        end();
    }
    void end() {
        const auto self = shared_from_this();
        stream.reset();
        server.loop_.cancel(std::exchange(timer, 0));
        server.connections_.erase(id);
        if (const auto call = std::exchange(gone, nullptr))
            call();
    }

    // One timer for each connection: it looks whether its time was moved on when it rings.
    void enter(Phase next) {
        phase = next;
        const ServerOptions& o = server.options_;
        const Micros span = next == Phase::idle           ? o.idle_time_out
                            : next == Phase::header       ? o.header_time_out
                            : next == Phase::body         ? o.body_time_out
                            : next == Phase::writing_last ? o.write_time_out
                                                          : 0;
        deadline = span > 0 ? server.loop_.now() + span : 0;
        if (deadline > 0 && (timer == 0 || deadline < rings))
            arm(deadline);
    }
    void arm(Micros at) {
        server.loop_.cancel(timer);
        rings = at;
        timer = server.loop_.after(at - server.loop_.now(), [this] {
            on_timer();
        });
    }
    void on_timer() {
        timer = 0;
        const Micros now = server.loop_.now();
        if (deadline == 0)
            return;
        // Whoever takes an answer slowly is left alone as long as some of it moves.
        if (stream->unsent() > 0 && (phase == Phase::idle || phase == Phase::writing_last)) {
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
        answer_and_close(408, phase == Phase::header ? "the header took too long" : "the body took too long");
    }

    Server& server;
    std::uint64_t id;
    std::unique_ptr<net::Stream> stream;
    Parser parser;
    Phase phase = Phase::idle;
    bool head_only = false, close_after = false, muted = false;
    std::uint64_t serial = 0;
    Micros deadline = 0, rings = 0;
    std::size_t unsent = 0;
    net::TimerId timer = 0;
    std::function<void()> gone;
};

Server::Reply::~Reply() {
    if (open())
        send({500, {}, ""});
}

bool Server::Reply::open() const {
    const auto to = to_.lock();
    return to && to->stream && to->serial == serial_ && to->phase == Connection::Phase::answering;
}

void Server::Reply::send(const Response& response) {
    const auto to = to_.lock();
    if (open())
        to->answer(response);
    to_.reset();
}

void Server::Reply::break_connection() {
    if (const auto to = to_.lock(); open())
        to->end();
    to_.reset();
}

void Server::Reply::on_disconnect(std::function<void()> call) {
    if (open())
        to_.lock()->gone = std::move(call);
}

Server::Server(net::Loop& loop, ServerOptions options, Handler handler)
    : loop_(loop), options_(options), handler_(std::move(handler)) {}

Server::~Server() {
    for (auto& [id, connection] : connections_) {
        connection->gone = nullptr;
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

void Server::suppress_responses(bool on) {
    if (!std::exchange(mute_, on) || on)
        return;
    std::vector<std::shared_ptr<Connection>> owed;
    for (auto& [id, c] : connections_)
        if (c->muted)
            owed.push_back(c);
    for (auto& c : owed)
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
