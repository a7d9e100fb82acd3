#include "statement/engine_call.hpp"

#include <algorithm>

namespace gatetiller::statement {
namespace {

constexpr Micros kMaxRetryAfterSeconds = 86'400;

// Whether the text can stand in a request line: visible ASCII without spaces.
bool is_path(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

}  // namespace

Micros read_retry_after(const http::Headers& headers) {
    const auto text = headers.find_only("Retry-After").value_or("");
    return to_number_in<Micros>(text, 0, kMaxRetryAfterSeconds).value_or(0) * kSecondMicros;
}

EngineCall::EngineCall(net::Loop& loop, http::Client& client, EngineCallOptions options, Events& events)
    : loop_(loop), client_(client), options_(options), events_(events) {}

EngineCall::~EngineCall() {
    loop_.cancel(again_);
}

// Engines name absolute URIs by what the front called them; only the path counts, since the front knows where
// the engine is and must not be sent elsewhere.
std::string EngineCall::path_of(const std::string& uri) {
    const std::size_t scheme = uri.find("://");
    const std::size_t path = uri.find('/', scheme == std::string::npos ? 0 : scheme + 3);
    return path == std::string::npos ? "" : uri.substr(path);
}

void EngineCall::start(http::Headers headers, std::string sql, std::function<bool()> may_begin) {
    state_ = State::posting;
    headers_ = headers;
    http::Request post{"POST", "/v1/statement", 1, std::move(headers), std::move(sql), {}};
    const auto cancelled = cancelled_;
    auto& client = client_;
    call_ = client_.send(
        post, options_.answer_time_out,
        [this, cancelled, &client, head = headers_, time_out = options_.answer_time_out](http::Answer a) {
            if (!*cancelled)
                return on_post(std::move(a));
            if (a.outcome != http::CallOutcome::answered || a.response.status != 200)
                return;
            const auto d = read_document(a.response.body);
            if (d && !d->final())
                send_delete(client, head, path_of(d->next_uri), time_out);
        },
        std::move(may_begin));
}

void EngineCall::end(CallEnd how) {
    state_ = State::over;
    // What it still runs there is nobody's any more.
    if (!next_.empty())
        send_delete(client_, headers_, next_, options_.answer_time_out);
    events_.on_end(*this, std::move(how));
}

void EngineCall::on_post(http::Answer a) {
    using How = CallEnd::How;
    switch (a.outcome) {
        case http::CallOutcome::never_sent:
            return end({How::not_sent, 0, a.error, 0});
        case http::CallOutcome::connect_timed_out:
            return end({How::connect_late, 0, a.error, 0});
        case http::CallOutcome::lacks_local_resource:
            return end({How::lacked_here, 0, a.error, 0});
        case http::CallOutcome::withdrawn:
            return end({How::withdrawn, 0, a.error, 0});
        case http::CallOutcome::broken:
            return end({How::lost, 0, a.error, 0});
        case http::CallOutcome::timed_out:
            return end({How::late, 0, a.error, 0});
        case http::CallOutcome::answered:
            break;
    }
    if (a.response.status != 200)
        return end({How::turned_away, a.response.status, a.response.body.substr(0, 200),
                    read_retry_after(a.response.headers)});
    take(a);
}

void EngineCall::take(http::Answer& a) {
    auto document = read_document(a.response.body);
    if (!document)
        return end({CallEnd::How::lost, 0, "a document that can't be read: " + document.error(), 0});
    const bool final = document->final();
    if (!final) {
        std::string path = path_of(document->next_uri);
        if (!is_path(path))
            return end({CallEnd::How::lost, 0, "a nextUri without a path", 0});
        next_ = std::move(path);
    }
    state_ = final ? State::over : State::has_next;
    events_.on_document(*this, std::move(*document), a.response.headers);  // may destroy this
}

void EngineCall::next() {
    if (state_ != State::has_next)
        return;
    state_ = State::polling;
    tries_ = 0;
    poll();
}

void EngineCall::ask_again() {
    if (state_ == State::polling && again_ == 0)
        poll();
}

void EngineCall::poll() {
    again_ = 0;
    http::Request get{"GET", next_, 1, headers_, {}, {}};
    call_ = client_.send(get, options_.answer_time_out, [this](http::Answer a) {
        on_poll(std::move(a));
    });
}

void EngineCall::on_poll(http::Answer a) {
    const bool answered = a.outcome == http::CallOutcome::answered;
    const int status = a.response.status;
    if (answered && status == 200)
        return take(a);
    // A poll may be asked again: the engine keeps its latest document.
    const bool again = a.outcome == http::CallOutcome::broken || a.outcome == http::CallOutcome::never_sent ||
                       a.outcome == http::CallOutcome::lacks_local_resource ||
                       (answered && (status == 502 || status == 503 || status == 504 || status == 429));
    if (again && ++tries_ < options_.poll_tries) {
        again_ = loop_.after(options_.poll_again_after, [this] {
            poll();
        });
        return;
    }
    const bool late =
        a.outcome == http::CallOutcome::timed_out || a.outcome == http::CallOutcome::connect_timed_out;
    end({late ? CallEnd::How::late : CallEnd::How::lost, answered ? status : 0,
         answered ? "a poll was answered with status " + std::to_string(status) : a.error, 0});
}

void EngineCall::cancel() {
    if (state_ == State::over || state_ == State::idle || recall()) {
        state_ = State::over;
        return;
    }
    loop_.cancel(std::exchange(again_, 0));
    *cancelled_ = true;
    if (state_ == State::posting)
        call_.detach();
    else
        send_delete(client_, headers_, next_, options_.answer_time_out);
    state_ = State::over;
    call_.cancel();
}

bool EngineCall::recall() {
    if (state_ != State::posting || !call_.withdraw())
        return false;
    state_ = State::over;
    return true;
}

void EngineCall::drop() {
    loop_.cancel(std::exchange(again_, 0));
    state_ = State::over;
    call_.cancel();
}

void EngineCall::send_delete(http::Client& client, const http::Headers& headers, const std::string& path,
                             Micros time_out) {
    client.send({"DELETE", path, 1, headers, {}, {}}, time_out, [](const http::Answer&) {}).detach();
}

}  // namespace gatetiller::statement
