#include "http/client.hpp"

#include <algorithm>

namespace gatetiller::http {

struct Client::Connection final : net::StreamEvents, std::enable_shared_from_this<Connection> {
    Connection(Client& c) : client(c), parser(Parser::Kind::response, c.options_.limits) {}
    ~Connection() override {
        client.loop_.cancel(timer);
    }

    void begin(std::string bytes, bool head, Micros time_out, Done call, MayBegin may) {
        parser.reset(head);
        answers_head = head;
        ++serial;
        done = std::move(call), may_begin = std::move(may);
        client.loop_.cancel(std::exchange(timer, 0));
        if (time_out > 0)
            timer = client.loop_.after(time_out, [this] {
                timer = 0;
                fail(connected ? CallOutcome::timed_out : CallOutcome::connect_timed_out,
                     "no answer in time");
            });
        sent = stream->send(std::move(bytes));
    }
    void on_connected() override {
        connected = true;
    }
    void on_sending(std::size_t) override {
        const bool may = !may_begin || stream->written(sent) != net::Written::none || may_begin();
        if (may || !stream->cancel_send(sent))
            return;
        // Told in a later turn, as the stream is at its writing.
        client.loop_.cancel(std::exchange(timer, 0));
        timer = client.loop_.after(0, [this] {
            timer = 0;
            fail(CallOutcome::withdrawn, "it might not begin any more");
        });
    }
    void on_data(Buffer& in) override {
        if (!done)
            return drop();  // bytes that nobody asked for
        if (!parser.feed(in))
            return;
        if (parser.failed())
            return fail(CallOutcome::broken, "an answer that can't be read: " + parser.error());
        if (parser.response().status < 200) {  // 100 Continue and its like
            parser.reset(answers_head);
            if (!in.empty())
                stream->schedule_delivery();
            return;
        }
        finish(parser.keep_alive() && in.empty());
    }
    void on_closed(net::Closed how) override {
        const auto self = shared_from_this();
        const bool answer_ends_it =
            done && how == net::Closed::by_peer && parser.end_of_input() && parser.done();
        if (answer_ends_it)
            return finish(false);
        if (std::exchange(connected, false) && !client.any_connected() && client.all_lost_)
            client.all_lost_();
        if (!done)
            return drop();
        if (how == net::Closed::refused)
            return fail(CallOutcome::never_sent, "connection refused");
        if (how == net::Closed::local)
            return fail(CallOutcome::lacks_local_resource, "this machine lacks something for a connection");
        if (how == net::Closed::connect_timed_out)
            return fail(CallOutcome::connect_timed_out, "no connection in time");
        fail(CallOutcome::broken, "the connection ended before the answer");
    }
    void finish(bool keep) {
        const auto self = shared_from_this();
        client.loop_.cancel(std::exchange(timer, 0));
        const auto call = std::exchange(done, nullptr);
        may_begin = nullptr;
        Answer answer{CallOutcome::answered, std::move(parser.response()), {}};
        if (keep && client.idle_.size() < client.options_.idle_connections) {
            client.idle_.push_back(self);
            timer = client.loop_.after(client.options_.idle_time_out, [this] {
                timer = 0, drop();
            });
        } else {
            drop();
        }
        call(std::move(answer));
    }
    void fail(CallOutcome how, std::string what) {
        const auto self = shared_from_this();
        const auto call = std::exchange(done, nullptr);
        drop();
        if (call)
            call({how, {}, std::move(what)});
    }
    void drop() {
        const auto self = shared_from_this();
        client.loop_.cancel(std::exchange(timer, 0));
        stream.reset();
        done = nullptr, may_begin = nullptr;
        std::erase(client.idle_, self);
        std::erase(client.all_, self);
    }

    Client& client;
    std::unique_ptr<net::Stream> stream;
    Parser parser;
    bool connected = false, answers_head = false;
    std::uint64_t serial = 0;  // which call of this connection is in flight
    net::TimerId timer = 0;
    net::SendId sent = 0;  // the request of the call in flight
    Done done;
    MayBegin may_begin;
};

void Client::Call::cancel() {
    if (active())
        of_.lock()->drop();
    of_.reset();
}

void Client::Call::detach() {
    if (active())
        of_.lock()->may_begin = nullptr;
    of_.reset();
}

bool Client::Call::withdraw() {
    const auto c = of_.lock();
    if (!active() || !c->stream->cancel_send(c->sent))
        return false;
    cancel();
    return true;
}

bool Client::Call::active() const {
    const auto c = of_.lock();
    return c && c->serial == serial_ && c->done;
}

bool Client::any_connected() const {
    return std::any_of(all_.begin(), all_.end(), [](const auto& c) {
        return c->connected;
    });
}

Client::Client(net::Loop& loop, net::Address server, ClientOptions options)
    : loop_(loop), server_(std::move(server)), host_(server_.text()), options_(options) {
    if (server_.family == net::Address::Family::local)
        host_ = "localhost";
}

Client::~Client() {
    for (auto& c : all_)
        c->done = nullptr, c->stream.reset();
}

Client::Call Client::send(const Request& request, Micros time_out, Done done, MayBegin may_begin) {
    std::shared_ptr<Connection> c;
    if (!idle_.empty()) {
        c = std::move(idle_.back());  // the one used last: least likely to be closed by the server just now
        idle_.pop_back();
    } else {
        c = std::make_shared<Connection>(*this);
        all_.push_back(c);
        c->stream = loop_.connect(server_, *c, options_.connect_time_out);
    }
    c->begin(write(request, host_), request.method == "HEAD", time_out, std::move(done),
             std::move(may_begin));
    return Call(c, c->serial);
}

}  // namespace gatetiller::http
