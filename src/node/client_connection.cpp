#include "node/client_connection.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxFrameBytes = 49'152;  // a statement, its fields and their headers
constexpr int kCallsPerTurn = 32;               // from one connection, so that others get their turn

}  // namespace

ClientSessions::Connection::Connection(ClientSessions& sessions, ClientId id,
                                       std::unique_ptr<net::Stream> stream)
    : sessions_(sessions), id_(id), stream_(std::move(stream)) {
    state_.connected_at = sessions.loop_.now();
    state_.last_active_at = state_.connected_at;
}

void ClientSessions::Connection::start() {
    stream_->set_input_budget(sessions_.input_budget_);
    stream_->events(*this);
}

void ClientSessions::Connection::on_data(Buffer& in) {
    const std::weak_ptr<char> alive = alive_;
    skip_discarded_message(in);
    if (alive.expired())
        return;
    if (!discarded_message_)
        read_messages(in);
    if (alive.expired())
        return;
    report_held_input(in);
    sessions_.discard_excess_input();
}

void ClientSessions::Connection::read_messages(Buffer& in) {
    deferred_ = false;
    waits_for_client_ = false;
    unread_until_ = 0;
    waiting_since_ = std::exchange(deferred_since_, 0);
    auto reading = Reading::complete;
    for (int calls = 0; reading == Reading::complete && !state_.closing && !malformed_; ++calls)
        reading = read_message(in, calls);
    if (reading == Reading::gone || reading == Reading::deferred)
        return;
    if (malformed_)
        return in.consume(in.size());
    if (state_.closing)
        return;
    if (in.empty())
        state_.partial_request_since = 0;
    else if (state_.partial_request_since == 0)
        state_.partial_request_since = sessions_.loop_.now();
}

// Reports to the budget what stays in the buffer after reading, and remembers what is needed to discard it.
void ClientSessions::Connection::report_held_input(Buffer& in) {
    in.release_spare_capacity();
    const std::size_t held = in.memory();
    const bool incomplete = !deferred_ && !malformed_ && !state_.closing;
    sessions_.input_budget_.update(id_, held, incomplete);
    partial_message_.reset();
    if (incomplete && held >= net::InputBudget::kAllowanceBytes)
        partial_message_ = PartialMessage{thrift::read_call_head(in.view()), in.size()};
}

void ClientSessions::Connection::discard_partial_message() {
    sessions_.input_budget_.remove(id_);
    if (!partial_message_)
        return;
    const auto partial = std::exchange(partial_message_, std::nullopt);
    stream_->discard_input();
    ++sessions_.counters_.discarded;
    if (!partial->head)
        return end_malformed(0, thrift::Fault::protocol, partial->head.error());
    discarded_message_ =
        DiscardedMessage{*partial->head, partial->head->frame_bytes - partial->received_bytes};
}

void ClientSessions::Connection::skip_discarded_message(Buffer& in) {
    if (!discarded_message_)
        return;
    unread_until_ = 0;
    const std::size_t skipped = std::min(discarded_message_->missing_bytes, in.size());
    in.consume(skipped);
    discarded_message_->missing_bytes -= skipped;
    if (discarded_message_->missing_bytes > 0)
        return;
    const auto message = std::exchange(discarded_message_, std::nullopt);
    state_.partial_request_since = 0;
    if (!malformed_ && !state_.closing)
        end_discarded_message(message->head);
}

void ClientSessions::Connection::end_discarded_message(const thrift::CallHead& head) {
    state_.last_active_at = sessions_.loop_.now();
    if (!head.is_process())
        return queue(thrift::exception(head.method, head.seq, thrift::Fault::protocol,
                                       "discarded: the messages of all clients are too long"));
    if (!accept_sequence_number(head.seq))
        return;
    state_.has_sent_request = true;
    sessions_.events_.on_discarded(id_, head.seq);
}

ClientSessions::Connection::Reading ClientSessions::Connection::read_message(Buffer& in, int calls) {
    std::string_view frame;
    const auto framing = thrift::next_frame(in, kMaxFrameBytes, frame);
    if (framing == thrift::FrameStatus::incomplete)
        return Reading::incomplete;
    if (calls == kCallsPerTurn) {
        defer();
        stream_->schedule_delivery();
        return Reading::deferred;
    }
    if (framing == thrift::FrameStatus::too_long) {
        end_malformed(0, thrift::Fault::protocol,
                      "a message of over " + std::to_string(kMaxFrameBytes) + " bytes");
        return Reading::incomplete;
    }
    const std::weak_ptr<char> alive = alive_;
    auto call = thrift::read_call(frame);
    if (call && must_read_first(*call)) {
        defer();
        waits_for_client_ = true;
        return Reading::deferred;
    }
    in.consume(thrift::kFrameHead + frame.size());
    state_.last_active_at = sessions_.loop_.now();
    if (call)
        handle(std::move(*call));
    else
        end_malformed(0, thrift::Fault::protocol, call.error());
    return alive.expired() ? Reading::gone : Reading::complete;
}

// A cancellation does not wait itself, as it frees memory and queues no response. It may stand behind a
// message that waits.
bool ClientSessions::Connection::must_read_first(const thrift::Call& call) const {
    if (call.what == thrift::Call::What::give_up)
        return false;
    const bool is_request = call.what == thrift::Call::What::process;
    return decide::must_read_first({.client_bytes = stream_->unsent(),
                                    .total_bytes = sessions_.unsent_bytes_,
                                    .is_answered_at_once = !is_request},
                                   sessions_.limits_);
}

// Leaves complete messages in the buffer for a later turn.
void ClientSessions::Connection::defer() {
    state_.partial_request_since = 0;
    deferred_ = true;
    deferred_since_ = sessions_.loop_.now() - max_unread_wait();
}

void ClientSessions::Connection::on_sent() {
    report_unsent();
    if (waits_for_client_)
        stream_->schedule_delivery();
}

void ClientSessions::Connection::count_queued(std::size_t bytes) {
    read_progress_.add_queued(bytes);
    acknowledgements_.add_queued(bytes);
}

void ClientSessions::Connection::report_unsent() {
    const std::size_t unsent = stream_->unsent();
    sessions_.unsent_bytes_ += unsent;
    sessions_.unsent_bytes_ -= std::exchange(reported_unsent_, unsent);
}

decide::ReaderSnapshot ClientSessions::Connection::check_reading() {
    report_unsent();
    auto snapshot = read_progress_.check(stream_->unsent());
    if (waits_for_client_) {
        const std::size_t unacknowledged = stream_->unsent() + stream_->unacknowledged().value_or(0);
        snapshot.silent_checks = acknowledgements_.check(unacknowledged).stalled_checks;
    }
    return snapshot;
}

void ClientSessions::Connection::on_closed(net::Closed) {
    sessions_.drop(id_, decide::CloseReason::peer_closed);
}

void ClientSessions::Connection::handle(thrift::Call call) {
    using What = thrift::Call::What;
    switch (call.what) {
        case What::probe:
            state_.has_sent_request = true;
            queue(thrift::answer(call.method, call.seq, {}));
            return sessions_.close_if_over_limit(id_);
        case What::give_up:
            if (sequence_numbers_.release(call.given_up))
                sessions_.events_.on_cancelled(id_, call.given_up);
            return;
        case What::unknown:
            queue(thrift::exception(call.method, call.seq, thrift::Fault::unknown_method,
                                    "no such method: " + call.method));
            return sessions_.close_if_over_limit(id_);
        case What::process:
            return handle_process(std::move(call));
    }
}

bool ClientSessions::Connection::accept_sequence_number(std::int32_t sequence) {
    switch (sequence_numbers_.accept(sequence)) {
        case decide::ClientSequenceNumbers::Verdict::accepted:
            return true;
        case decide::ClientSequenceNumbers::Verdict::not_increasing:
            end_malformed(sequence, thrift::Fault::bad_sequence, "sequence numbers must climb");
            return false;
        case decide::ClientSequenceNumbers::Verdict::too_many_open:
            end_malformed(
                sequence, thrift::Fault::protocol,
                "more than " + std::to_string(decide::ClientSequenceNumbers::kMaxOpen) + " open requests");
            return false;
    }
    return false;
}

void ClientSessions::Connection::handle_process(thrift::Call call) {
    if (!accept_sequence_number(call.seq))
        return;
    const Micros unread_wait = std::max(max_unread_wait(), state_.has_sent_request ? 0 : backlog_wait_);
    state_.has_sent_request = true;
    sessions_.events_.on_request(id_, std::move(call), unread_wait);
}

// Returns the maximum time for which the messages being read have waited on this machine.
Micros ClientSessions::Connection::max_unread_wait() const {
    const Micros deferred = waiting_since_ > 0 ? sessions_.loop_.now() - waiting_since_ : 0;
    return std::max({sessions_.loop_.input_delay(), stream_->resource_delay(), deferred});
}

decide::ClientSnapshot ClientSessions::Connection::snapshot() const {
    auto snapshot = state_;
    snapshot.open_requests = sequence_numbers_.open_count();
    snapshot.has_unsent = stream_->unsent() > 0;
    snapshot.has_unread = deferred_ || sessions_.loop_.now() < unread_until_;
    return snapshot;
}

decide::ClosingContext ClientSessions::Connection::closing_context() const {
    const auto current = snapshot();
    return {current.open_requests, current.has_unsent, current.has_unread};
}

// Ends reading after a malformed message, as the rest of the stream can't be parsed. The requests accepted
// before still get their responses; if their sequence number was reused, the exception is the response.
void ClientSessions::Connection::end_malformed(std::int32_t sequence, thrift::Fault fault,
                                               const std::string& reason) {
    ++sessions_.counters_.malformed;
    queue(thrift::exception("process", sequence, fault, reason));
    malformed_ = true;
    state_.partial_request_since = 0;
    if (sequence_numbers_.release(sequence))
        sessions_.events_.on_cancelled(id_, sequence);
    close_if_answered();
}

void ClientSessions::Connection::close_if_answered() {
    if (!malformed_ || state_.closing || sequence_numbers_.open_count() > 0)
        return;
    if (const auto permit = sessions_.permit_close(*this, decide::CloseReason::malformed))
        close(*permit);
}

bool ClientSessions::Connection::respond(std::int32_t sequence, std::string frame) {
    if (!sequence_numbers_.release(sequence))
        return false;
    state_.last_active_at = sessions_.loop_.now();
    queue(std::move(frame));
    return true;
}

void ClientSessions::Connection::queue(std::string frame) {
    const std::size_t size = frame.size();
    if (stream_->send(std::move(frame)) != 0)
        count_queued(size);
    report_unsent();
}

void ClientSessions::Connection::close(const decide::ClosePermit&) {
    state_.closing = true;
    state_.closing_since = sessions_.loop_.now();
    state_.partial_request_since = 0;
    sessions_.input_budget_.remove(id_);
    stream_->finish();
}

}  // namespace gatetiller::node
