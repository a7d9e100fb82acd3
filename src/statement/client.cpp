#include "statement/client.hpp"

namespace gatetiller::statement {

struct StatementClient::Listener final : EngineCall::Events {
    Listener(net::Loop& loop, http::Client& http, EngineCallOptions options)
        : call(loop, http, options, *this) {}
    void on_document(EngineCall& c, Document d, const http::Headers& headers) override {
        if (events.document)
            events.document(d);
        if (!d.final())
            return c.next();
        ClientResult r;
        r.how = ClientResult::How::answered;
        r.retry_after = read_retry_after(headers);
        r.last = std::move(d);
        if (const auto end = std::exchange(events.end, nullptr))
            end(r);
    }
    void on_end(EngineCall&, CallEnd how) override {
        using How = ClientResult::How;
        using Call = CallEnd::How;
        ClientResult r;
        r.how = how.how == Call::turned_away ? How::turned_away
                : how.how == Call::lost      ? How::lost
                : how.how == Call::late      ? How::late
                                             : How::unreachable;
        r.status = how.status, r.text = how.text, r.retry_after = how.retry_after;
        if (const auto end = std::exchange(events.end, nullptr))
            end(r);
    }
    StatementClient::Events events;
    EngineCall call;
};

StatementClient::StatementClient(net::Loop& loop, http::Client& http, EngineCallOptions options)
    : listener_(std::make_unique<Listener>(loop, http, options)) {}
StatementClient::~StatementClient() = default;

void StatementClient::start(http::Headers headers, std::string sql, Events events) {
    listener_->events = std::move(events);
    listener_->call.start(std::move(headers), std::move(sql));
}

void StatementClient::cancel() {
    listener_->events = {};
    listener_->call.cancel();
}

void StatementClient::ask_again() {
    listener_->call.ask_again();
}

void StatementClient::abandon() {
    listener_->events = {};
    listener_->call.drop();
}

}  // namespace gatetiller::statement
