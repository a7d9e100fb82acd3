#include "http/client.hpp"

#include <algorithm>

namespace gatetiller::http {

struct Client::Connection final : net::StreamEvents, std::enable_shared_from_this<Connection> {
    Connection(Client& c) : client(c), parser(Parser::Kind::response, c.options_.limits) {}
    ~Connection() override {
        client.loop_.cancel(timer);
    }

    void begin(std::string bytes, bool head, Micros time_out, Done call, MayBegin begin_allowed) {
        parser.reset(head);
        answers_head = head;
        ++serial;
        done = std::move(call), may_begin = std::move(begin_allowed);
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
        const bool allowed = !may_begin || stream->written(sent) != net::Written::none || may_begin();
        if (allowed || !stream->cancel_send(sent))
            return;
        // Reported in a later turn, because the stream is being written.
        client.loop_.cancel(std::exchange(timer, 0));
        timer = client.loop_.after(0, [this] {
            timer = 0;
            fail(CallOutcome::withdrawn, "it might not begin any more");
        });
    }
    void on_data(Buffer& in) override {
        if (!done)
            return drop();  // unexpected bytes on an idle connection
        if (!parser.feed(in))
            return;
        if (parser.failed())
            return fail(CallOutcome::broken, "an answer that can't be read: " + parser.error());
        if (parser.response().status < 200) {  // informational response, such as 100 Continue
            parser.reset(answers_head);
            if (!in.empty())
                stream->schedule_delivery();
            return;
        }
        finish(parser.keep_alive() && in.empty());
    }
    void on_closed(net::Closed how) override {
        const auto self = shared_from_this();
        const bool end_completes_response =
            done && how == net::Closed::by_peer && parser.end_of_input() && parser.done();
        if (end_completes_response)
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
    void finish(bool reusable) {
        const auto self = shared_from_this();
        client.loop_.cancel(std::exchange(timer, 0));
        const auto call = std::exchange(done, nullptr);
        may_begin = nullptr;
        Answer answer{CallOutcome::answered, std::move(parser.response()), {}};
        if (reusable && client.idle_.size() < client.options_.idle_connections) {
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
    std::uint64_t serial = 0;  // number of the current call on this connection
    net::TimerId timer = 0;
    net::SendId sent = 0;  // the send() of the current request
    Done done;
    MayBegin may_begin;
};

void Client::Call::cancel() {
    if (active())
        connection_.lock()->drop();
    connection_.reset();
}

void Client::Call::detach() {
    if (active())
        connection_.lock()->may_begin = nullptr;
    connection_.reset();
}

bool Client::Call::withdraw() {
    const auto c = connection_.lock();
    if (!active() || !c->stream->cancel_send(c->sent))
        return false;
    cancel();
    return true;
}

bool Client::Call::active() const {
    const auto c = connection_.lock();
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
        c = std::move(idle_.back());  // the most recently used one is least likely to be closed by the server
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
