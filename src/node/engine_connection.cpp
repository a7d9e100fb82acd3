#include "node/engine_connection.hpp"

#include <algorithm>

#include "base/text.hpp"
#include "resp/resp.hpp"

namespace gatetiller::node {
namespace {

using decide::ConnectionEnd;
using decide::ExchangeResult;
using decide::WriteProgress;
using Status = ExchangeResult::Status;

// A request that has waited longer than this to be sent is encoded again with its current time left.
constexpr Micros kMaxRequestAge = 10 * kMillisecond;

// A request that has been partly sent for longer than this is reset and retried: the time left in its first
// bytes is out of date.
constexpr Micros kMaxPartialWriteTime = 120 * kMillisecond;

// A request without a response for longer than this may be unread at a proxy or a hanging engine.
constexpr Micros kSilenceThreshold = 300 * kMillisecond;

constexpr std::size_t kResponseFields = 4;  // id, kind, fields, body
constexpr std::size_t kMaxResponseFieldBytes = 8'192;
constexpr std::size_t kMaxDetailBytes = 80;  // of an engine's error message, for logs
const resp::Limits kResponseLimits{kResponseFields, kMaxResponseFieldBytes};

std::string encode(const std::string& id, const Exchange::Request& request) {
    return resp::array({"do", id, request.fields, request.body});
}

}  // namespace

EngineConnection::EngineConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout,
                                   ConnectionPool& pool, EngineConnectionOwner& owner)
    : loop_(loop),
      address_(address.text()),
      pool_(pool),
      owner_(owner),
      connection_number_(++pool.opened),
      opened_at_(loop.now()),
      last_used_at_(opened_at_) {
    pool_.on_opened();
    pool_.on_idle(*this);
    stream_ = loop_.connect(address, *this, connect_timeout);
}

EngineConnection::~EngineConnection() {
    if (pool_.trace)
        trace("closed with " + std::to_string(unsent_bytes()) + " bytes unsent");
    pool_.on_ended(*this);
}

std::string EngineConnection::name() const {
    return "connection " + std::to_string(connection_number_) + " to " + address_;
}

void EngineConnection::trace(const std::string& event) const {
    pool_.trace(name() + " " + event + " open=" + std::to_string(open_.size()) +
                " ms=" + std::to_string((loop_.now() - opened_at_) / kMillisecond));
}

void EngineConnection::on_connected() {
    connected_ = true;
    if (pool_.trace)
        trace("is established");
}

void EngineConnection::on_closed(net::Closed reason) {
    switch (reason) {
        case net::Closed::refused:
        case net::Closed::connect_timed_out:
            ++pool_.refused;
            return end_all(ConnectionEnd::never_established, StreamState::ended,
                           "the connection could not be established");
        case net::Closed::local:
            ++pool_.local_failures;
            return end_all(ConnectionEnd::local_resource_exhausted, StreamState::ended,
                           "this machine lacks a resource for the connection");
        case net::Closed::by_peer:
        case net::Closed::reset:
            break;
    }
    ++pool_.broken;
    end_all(ConnectionEnd::broken, StreamState::ended, "the connection ended");
}

// ---- Sending

void EngineConnection::enqueue(Exchange& exchange, const Exchange::Request& request) {
    exchange.connection_ = this;
    if (open_.empty())
        pool_.on_busy(*this);
    open_.emplace(exchange.id_, &exchange);
    sent_ids_.insert(exchange.id_);
    std::string bytes = encode(exchange.id_, request);
    exchange.request_bytes_ = bytes.size();
    exchange.written_at_ = loop_.now();
    exchange.request_send_id_ = send(std::move(bytes));
    exchange.end_offset_ = bytes_queued_;
    unsent_.push_back(&exchange);
}

net::SendId EngineConnection::send(std::string bytes) {
    bytes_queued_ += bytes.size();
    return stream_->send(std::move(bytes));
}

// Prepares the waiting requests that fit into the next write: each must carry its current time left.
void EngineConnection::on_sending(std::size_t max_bytes) {
    std::erase_if(unsent_, [&](const Exchange* exchange) {
        return stream_->written(exchange->request_send_id_) == net::Written::all;
    });
    auto waiting = unsent_;  // a copy, as withdrawing a request changes `unsent_`
    const bool first_has_begun =
        !waiting.empty() && stream_->written(waiting.front()->request_send_id_) == net::Written::partial;
    if (first_has_begun) {
        if (loop_.now() - waiting.front()->written_at_ > kMaxPartialWriteTime)
            return schedule_abort("a request was partly sent for too long");
        waiting.erase(waiting.begin());
    }
    std::size_t bytes = 0;
    for (Exchange* const exchange : waiting) {
        if (bytes >= max_bytes)
            break;
        bytes += prepare_for_sending(*exchange);
    }
}

std::size_t EngineConnection::prepare_for_sending(Exchange& exchange) {
    if (exchange.events_.may_begin(connection_number_))
        return rewrite_if_stale(exchange);
    withdraw_while_sending(exchange);
    return 0;
}

std::size_t EngineConnection::rewrite_if_stale(Exchange& exchange) {
    if (loop_.now() - exchange.written_at_ < kMaxRequestAge)
        return exchange.request_bytes_;
    const auto request = exchange.events_.current_request();
    if (!request) {
        withdraw_while_sending(exchange);
        return 0;
    }
    std::string bytes = encode(exchange.id_, *request);
    exchange.request_bytes_ = bytes.size();
    exchange.written_at_ = loop_.now();
    ++pool_.rewritten;
    stream_->replace(exchange.request_send_id_, std::move(bytes));
    return exchange.request_bytes_;
}

// Withdraws a request that may no longer begin. Its caller is notified in a later turn, as the stream is in
// the middle of a write.
void EngineConnection::withdraw_while_sending(Exchange& exchange) {
    if (!stream_->cancel_send(exchange.request_send_id_))
        return;
    exchange.request_send_id_ = 0;
    for (const auto change : std::exchange(exchange.priority_changes_, {}))
        stream_->cancel_send(change);
    std::erase(unsent_, &exchange);
    loop_.after(0, [this, alive = std::weak_ptr<char>(alive_), id = exchange.id_] {
        if (!alive.expired())
            finish_as_not_sent(id);
    });
}

void EngineConnection::finish_as_not_sent(const std::string& id) {
    const auto found = open_.find(id);
    if (found == open_.end() || found->second->request_send_id_ != 0)
        return;
    ExchangeResult result;
    result.status = Status::not_sent;
    result.detail = "the request waited until it was no longer permitted to begin";
    finish(*found->second, std::move(result));
}

// Ends the connection after a part of a request has been sent, so that the rest never follows. All other open
// requests end too, each with the status that follows for it. This happens in a later turn, as the caller
// still uses the connection.
void EngineConnection::schedule_abort(const char* reason) {
    stream_->discard_unsent();
    loop_.after(0, [this, alive = std::weak_ptr<char>(alive_), reason] {
        if (!alive.expired())
            end_all(ConnectionEnd::broken, StreamState::ended, reason);
    });
}

// ---- Responses

void EngineConnection::on_data(Buffer& in) {
    const std::weak_ptr<char> alive = alive_;
    std::vector<std::string_view> parts;
    std::size_t size = 0;
    for (;;) {
        const auto reading = resp::read_array(in.view(), kResponseLimits, parts, size);
        if (reading == resp::ParseStatus::incomplete)
            return;
        if (reading == resp::ParseStatus::malformed || parts.size() != kResponseFields) {
            end_malformed("malformed response");
            return;
        }
        // Copied, as handling the response may destroy this connection and its buffer.
        const EngineResponse response{std::string(parts[0]), std::string(parts[1]), std::string(parts[2]),
                                      std::string(parts[3])};
        in.consume(size);
        if (!on_response(response) || alive.expired())
            return;
    }
}

bool EngineConnection::on_response(const EngineResponse& response) {
    if (response.kind == "PONG")
        return true;
    decide::ResponseFields fields;
    if (!fields.parse(response.fields))
        return end_malformed("malformed response fields", response);
    const auto found = open_.find(response.id);
    if (found == open_.end())
        return on_unsolicited();
    Exchange& exchange = *found->second;
    exchange.has_response_ = true;
    if (response.kind == "INFO")
        return on_progress(exchange, fields);
    if (response.kind == "HIT")
        return on_first_page(exchange, fields, response);
    if (response.kind == "PART")
        return on_further_page(exchange, fields, response);
    if (response.kind == "SHED" || response.kind == "LATE" || response.kind == "FAULT")
        return on_failure(exchange, fields, response);
    return end_malformed("response of unknown kind", response);
}

bool EngineConnection::on_progress(Exchange& exchange, const decide::ResponseFields& fields) {
    const auto note = read_progress(fields);
    if (!note)
        return true;  // other INFO messages carry no progress
    const std::weak_ptr<char> alive = alive_;
    exchange.events_.on_progress(note->kind, note->value);
    return !alive.expired();
}

bool EngineConnection::on_first_page(Exchange& exchange, const decide::ResponseFields& fields,
                                     const EngineResponse& response) {
    if (exchange.pages_.started())
        return on_unsolicited();
    const auto pages = read_page_count(fields);
    if (!pages)
        return end_malformed("a result without a valid number of pages", response);
    if (!exchange.pages_.start(*pages, response.body))
        return end_malformed("malformed page", response);
    if (pool_.trace)
        trace("has a result of " + std::to_string(exchange.pages_.pages()) + " pages: " + response.text());
    const ReportedCost cost = read_cost(fields);
    exchange.result_.work_ms = cost.work_ms;
    exchange.result_.needed_mb = cost.needed_mb;
    exchange.result_.load_report = read_load_report(fields);
    if (!exchange.pages_.complete())
        pool_.results.reserve(exchange.reservation_, exchange.pages_.max_missing_bytes(), [this, &exchange] {
            request_further_pages(exchange);
        });
    return finish_if_complete(exchange);
}

void EngineConnection::request_further_pages(Exchange& exchange) {
    for (std::size_t page = 1; page < exchange.pages_.pages(); ++page)
        send(resp::array({"page", exchange.id_, std::to_string(page)}));
}

bool EngineConnection::on_further_page(Exchange& exchange, const decide::ResponseFields& fields,
                                       const EngineResponse& response) {
    const auto number = read_page_number(fields);
    const bool beyond_result = exchange.pages_.started() && number >= exchange.pages_.pages();
    if (!number || beyond_result)
        return end_malformed("a page without a valid number", response);
    switch (exchange.pages_.add(*number, response.body)) {
        case decide::ResultPages::PageVerdict::accepted:
            return finish_if_complete(exchange);
        case decide::ResultPages::PageVerdict::not_requested:
            return on_unsolicited();
        case decide::ResultPages::PageVerdict::malformed:
            break;
    }
    return end_malformed("malformed page", response);
}

bool EngineConnection::on_failure(Exchange& exchange, const decide::ResponseFields& fields,
                                  const EngineResponse& response) {
    ExchangeResult result;
    result.status = Status::failed;
    if (response.kind == "SHED")
        result.status = Status::rejected;
    else if (response.kind == "LATE")
        result.status = Status::deadline_passed;
    if (result.status != Status::failed && exchange.pages_.started())
        return end_malformed("a SHED or LATE response after a result", response);
    result.load_report = read_load_report(fields);
    result.detail = response.body.substr(0, kMaxDetailBytes);
    return finish(exchange, std::move(result));
}

bool EngineConnection::on_unsolicited() {
    ++pool_.unsolicited;
    return true;
}

// The trace shows the message itself, because its connection's end only gives the reason.
bool EngineConnection::end_malformed(const char* reason, const EngineResponse& response) {
    if (pool_.trace)
        trace("has a malformed response: " + response.text());
    return end_malformed(reason);
}

bool EngineConnection::end_malformed(const char* reason) {
    ++pool_.malformed_responses;
    end_all(ConnectionEnd::broken, StreamState::open, reason);
    return false;
}

bool EngineConnection::finish_if_complete(Exchange& exchange) {
    if (!exchange.pages_.complete())
        return true;
    exchange.result_.status = Status::completed;
    exchange.result_.rows = exchange.pages_.take_rows();
    return finish(exchange, std::move(exchange.result_));
}

bool EngineConnection::finish(Exchange& exchange, ExchangeResult result) {
    remove(exchange);
    const std::weak_ptr<char> alive = alive_;
    exchange.events_.on_end(std::move(result));
    return !alive.expired() && close_if_unused();
}

// ---- Closing

decide::ConnectionSnapshot EngineConnection::snapshot(const std::string& id) const {
    return {open_.size(), sent_ids_.size(), sent_ids_.contains(id), retired_, last_used_at_};
}

void EngineConnection::remove(Exchange& exchange) {
    open_.erase(exchange.id_);
    std::erase(unsent_, &exchange);
    exchange.connection_ = nullptr;
    exchange.reservation_.release();
    last_used_at_ = loop_.now();
    owner_.on_request_ended();  // first, as the pool may close an idle connection for another engine
    if (open_.empty())
        pool_.on_idle(*this);
}

void EngineConnection::detach_all() {
    for (const auto& [id, exchange] : open_) {
        exchange->connection_ = nullptr;
        exchange->reservation_.release();
    }
}

// Removes a cancelled request and retires the connection: a late response to its id must not count for
// another attempt, and a connection on which no response arrives is no longer usable.
void EngineConnection::remove_and_retire(Exchange& exchange) {
    cancelled_silent_request_ = cancelled_silent_request_ || is_silent(exchange);
    remove(exchange);
    retired_ = true;
    close_if_unused();
}

// Returns false if this connection has been destroyed.
bool EngineConnection::close_if_unused() {
    if (!retired_ || !open_.empty())
        return true;
    if (has_unacknowledged_bytes() || cancelled_silent_request_)
        discard();
    owner_.release(*this);
    return false;
}

// Returns whether the kernel holds unacknowledged bytes. The engine may be unreachable or not reading, so
// they could be delivered much later.
bool EngineConnection::has_unacknowledged_bytes() const {
    return stream_ && stream_->unacknowledged().value_or(0) > 0;
}

// Returns whether the kernel holds unacknowledged bytes of this request: more than the bytes written after
// it.
bool EngineConnection::has_unacknowledged_bytes(const Exchange& exchange) const {
    const std::size_t later_bytes = bytes_queued_ - std::min(bytes_queued_, exchange.end_offset_);
    const std::size_t later_bytes_in_kernel = later_bytes - std::min(later_bytes, unsent_bytes());
    return stream_ && stream_->unacknowledged().value_or(0) > later_bytes_in_kernel;
}

bool EngineConnection::has_unacknowledged_request() const {
    return std::any_of(open_.begin(), open_.end(), [this](const auto& open) {
        return has_unacknowledged_bytes(*open.second);
    });
}

// Returns whether there has been no response for so long that the request may still be unread at a proxy or
// the engine, even if its bytes were acknowledged.
bool EngineConnection::is_silent(const Exchange& exchange) const {
    return !exchange.has_response_ && loop_.now() - exchange.written_at_ > kSilenceThreshold;
}

// Resets the connection so that no cancelled request can still begin. A reset cancels as an `undo` does.
void EngineConnection::discard() {
    ++pool_.discarded;
    stream_->discard();
}

void EngineConnection::abort(const char* reason) {
    end_all(ConnectionEnd::broken, StreamState::open, reason);
}

void EngineConnection::end_all(ConnectionEnd end, StreamState stream_state, const char* reason) {
    if (pool_.trace)
        trace(std::string("ends: ") + reason);
    std::vector<std::pair<Exchange::Events*, Status>> ended;
    for (const auto& [id, exchange] : std::exchange(open_, {})) {
        auto progress = WriteProgress::complete;
        if (stream_->cancel_send(exchange->request_send_id_))
            progress = WriteProgress::none;
        else if (stream_state == StreamState::ended &&
                 stream_->written(exchange->request_send_id_) != net::Written::all)
            progress = WriteProgress::partial;
        ended.emplace_back(&exchange->events_, decide::classify_connection_end(end, progress));
        exchange->connection_ = nullptr;
        exchange->reservation_.release();
    }
    unsent_.clear();
    if (has_unacknowledged_bytes())
        discard();  // false if the stream has ended, as the kernel then holds nothing of it
    stream_.reset();
    owner_.release(*this);  // destroys `this`: only local variables are used below
    for (const auto& [events, status] : ended) {
        ExchangeResult result;
        result.status = status;
        result.detail = reason;
        events->on_end(std::move(result));
    }
}

// ---- Operations of exchanges

void EngineConnection::set_priority(Exchange& exchange, int level) {
    exchange.priority_changes_.push_back(send(resp::array({"bump", exchange.id_, std::to_string(level)})));
}

bool EngineConnection::withdraw_unsent(Exchange& exchange) {
    if (!stream_->cancel_send(exchange.request_send_id_))
        return false;
    for (const auto change : exchange.priority_changes_)
        stream_->cancel_send(change);  // queued behind the request, so not written either
    sent_ids_.erase(exchange.id_);
    remove(exchange);
    close_if_unused();
    return true;
}

bool EngineConnection::reset_partial(Exchange& exchange) {
    if (stream_->written(exchange.request_send_id_) != net::Written::partial)
        return false;
    schedule_abort("a partly sent request was cancelled");
    remove_and_retire(exchange);
    return true;
}

bool EngineConnection::discard_unacknowledged(Exchange& exchange) {
    if (open_.size() != 1 || !has_unacknowledged_bytes(exchange))
        return false;
    remove_and_retire(exchange);  // closes the connection, as no other request is open on it
    return true;
}

void EngineConnection::cancel(Exchange& exchange) {
    send(resp::array({exchange.pages_.started() ? "forget" : "undo", exchange.id_}));
    remove_and_retire(exchange);
}

std::string EngineConnection::describe(const Exchange& exchange) const {
    const char* progress = "not sent";
    switch (stream_->written(exchange.request_send_id_)) {
        case net::Written::all:
            progress = "sent completely";
            break;
        case net::Written::partial:
            progress = "sent in part";
            break;
        case net::Written::none:
            break;
    }
    const auto unacknowledged = stream_->unacknowledged();
    return name() + (connected_ ? " (established)" : " (connecting)") + ", " + progress +
           (unacknowledged ? ", unacknowledged " + std::to_string(*unacknowledged) : "");
}

}  // namespace gatetiller::node
