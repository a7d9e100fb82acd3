#include "node/client_sessions.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxFrameBytes = 49'152;  // a statement, its fields and their headers
constexpr int kCallsPerTurn = 32;               // from one connection, so that others get their turn
constexpr Micros kBacklogEmptyAfter = 10 * kMillisecond;  // since the last accepted connection
constexpr Micros kSweepInterval = 100 * kMillisecond;
constexpr Micros kUnreadGrace = 50 * kMillisecond;  // time to read the bytes that a last read left unread
constexpr std::size_t kSpareSlotDivisor = 8;  // graceful closes keep one in this many connection slots free

}  // namespace

class ClientSessions::Connection final : public net::StreamEvents {
public:
    Connection(ClientSessions& sessions, ClientId id, std::unique_ptr<net::Stream> stream);

    // Starts reading. To be called once the connection can be found by its id, as reading may close it.
    void start();
    void on_data(Buffer& in) override;
    void on_closed(net::Closed how) override;

    decide::ClientSnapshot snapshot() const;
    decide::ClosingContext closing_context() const;
    bool is_closing() const {
        return state_.closing;
    }
    ClientId id() const {
        return id_;
    }
    const std::string& peer() const {
        return stream_->peer();
    }

    // `wait`: the maximum time that the connection may have spent in the listen backlog.
    void set_backlog_wait(Micros wait) {
        backlog_wait_ = wait;
    }
    // The connection counts as having unread bytes until that time or until bytes are read.
    void set_unread_until(Micros until) {
        unread_until_ = until;
    }
    // Reads the bytes that have arrived, and returns whether it read all of them. May destroy the connection.
    bool read_now() {
        return stream_->read_now();
    }
    // Queues the response. Returns false if the request is not open.
    bool respond(std::int32_t sequence, std::string frame);
    std::size_t unsent() const {
        return stream_->unsent();
    }
    // To be called at each sweep.
    decide::ReaderSnapshot check_reading() {
        return read_progress_.check(stream_->unsent());
    }
    void close_if_answered();
    // Closes gracefully: pending output is sent, further input is read and discarded.
    void close(const decide::ClosePermit& permit);
    std::set<std::int32_t> release_all() {
        return sequence_numbers_.release_all();
    }

private:
    // The result of reading the next message in the buffer.
    enum class Reading {
        complete,    // one message was read; there may be more
        incomplete,  // there is nothing more to read in this turn
        deferred,    // complete messages are left for the next turn
        gone,        // the connection has been destroyed
    };
    Reading read_message(Buffer& in, int calls);
    void handle(thrift::Call call);
    void handle_process(thrift::Call call);
    void queue(std::string frame);
    void end_malformed(std::int32_t sequence, thrift::Fault fault, const std::string& reason);
    Micros max_unread_wait() const;

    ClientSessions& sessions_;
    ClientId id_;
    std::unique_ptr<net::Stream> stream_;
    decide::ClientSnapshot state_;  // without the number of open requests, which is in `sequence_numbers_`
    decide::ClientSequenceNumbers sequence_numbers_;
    decide::ReadProgress read_progress_;
    Micros backlog_wait_ = 0;  // maximum time spent in the listen backlog
    bool deferred_ = false;    // complete messages wait for the next turn
    // A malformed message has arrived: further input is discarded, and the connection closes once the
    // accepted requests have their responses.
    bool malformed_ = false;
    Micros deferred_since_ = 0;  // since when the deferred messages have waited; 0: none are deferred
    Micros waiting_since_ = 0;   // since when the messages of this turn have waited; 0: since they arrived
    Micros unread_until_ = 0;    // unread bytes are assumed until then or until bytes are read
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

ClientSessions::Connection::Connection(ClientSessions& sessions, ClientId id,
                                       std::unique_ptr<net::Stream> stream)
    : sessions_(sessions), id_(id), stream_(std::move(stream)) {
    state_.connected_at = sessions.loop_.now();
    state_.last_active_at = state_.connected_at;
}

void ClientSessions::Connection::start() {
    stream_->events(*this);
}

void ClientSessions::Connection::on_data(Buffer& in) {
    deferred_ = false;
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

ClientSessions::Connection::Reading ClientSessions::Connection::read_message(Buffer& in, int calls) {
    std::string_view frame;
    const auto framing = thrift::next_frame(in, kMaxFrameBytes, frame);
    if (framing == thrift::FrameStatus::incomplete)
        return Reading::incomplete;
    if (calls == kCallsPerTurn) {
        state_.partial_request_since = 0;
        deferred_ = true;
        deferred_since_ = sessions_.loop_.now() - max_unread_wait();
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
    in.consume(thrift::kFrameHead + frame.size());
    state_.last_active_at = sessions_.loop_.now();
    if (call)
        handle(std::move(*call));
    else
        end_malformed(0, thrift::Fault::protocol, call.error());
    return alive.expired() ? Reading::gone : Reading::complete;
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

void ClientSessions::Connection::handle_process(thrift::Call call) {
    switch (sequence_numbers_.accept(call.seq)) {
        case decide::ClientSequenceNumbers::Verdict::accepted:
            break;
        case decide::ClientSequenceNumbers::Verdict::not_increasing:
            return end_malformed(call.seq, thrift::Fault::bad_sequence, "sequence numbers must climb");
        case decide::ClientSequenceNumbers::Verdict::too_many_open:
            return end_malformed(
                call.seq, thrift::Fault::protocol,
                "more than " + std::to_string(decide::ClientSequenceNumbers::kMaxOpen) + " open requests");
    }
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
        read_progress_.add_queued(size);
}

void ClientSessions::Connection::close(const decide::ClosePermit&) {
    state_.closing = true;
    state_.closing_since = sessions_.loop_.now();
    state_.partial_request_since = 0;
    stream_->finish();
}

ClientSessions::ClientSessions(net::Loop& loop, decide::ResourceLimits limits, Events events,
                               const FaultInjection& faults)
    : loop_(loop), limits_(limits), events_(std::move(events)), faults_(faults) {}

ClientSessions::~ClientSessions() {
    for (const auto timer : {sweep_timer_, resume_timer_, backlog_timer_})
        loop_.cancel(timer);
}

Result<net::Address> ClientSessions::listen(const net::Address& at) {
    auto listener = loop_.listen(at, [this](std::unique_ptr<net::Stream> stream) {
        on_accepted(std::move(stream));
    });
    if (!listener)
        return listener.failure();
    listener_ = std::move(*listener);
    sweep_timer_ = loop_.after(kSweepInterval, [this] {
        sweep();
    });
    return listener_->address();
}

void ClientSessions::on_accepted(std::unique_ptr<net::Stream> stream) {
    ++counters_.accepted;
    ensure_capacity();
    const ClientId id = ++last_id_;
    const auto added = connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream)));
    added.first->second->start();
    if (backlog_since_ == 0)
        return;
    added.first->second->set_backlog_wait(loop_.now() - backlog_since_);
    loop_.cancel(backlog_timer_);
    backlog_timer_ = loop_.after(kBacklogEmptyAfter, [this] {
        backlog_timer_ = 0;
        if (resume_timer_ == 0)
            backlog_since_ = 0;
    });
}

// ---- Evictions

// Evicts connections down to the limit. A connection must have had time to send a request before it is
// evicted; until then new connections wait in the listen backlog. The connection just accepted may exceed the
// limit by one.
void ClientSessions::ensure_capacity() {
    while (connections_.size() >= limits_.client_connections)
        if (!evict_one())
            return;
    // Close gracefully before the limit is reached: an immediate close could cross a request on its way.
    const std::size_t spare = limits_.client_connections / kSpareSlotDivisor;
    if (connections_.size() + spare < limits_.client_connections)
        return;
    const auto next = next_eviction();
    if (next && next->candidate.evictable_at <= loop_.now() && !connections_.at(next->id)->is_closing())
        close_if_idle(next->id, decide::CloseReason::evicted);
}

std::optional<ClientSessions::Eviction> ClientSessions::next_eviction() const {
    std::vector<decide::ClientSnapshot> snapshots;
    std::vector<ClientId> ids;
    for (const auto& [id, connection] : connections_) {
        snapshots.push_back(connection->snapshot());
        ids.push_back(id);
    }
    const auto candidate = decide::select_eviction(snapshots, loop_.now(), timeouts_);
    return candidate ? std::optional(Eviction{*candidate, ids[candidate->index]}) : std::nullopt;
}

// Returns false if no connection may be evicted yet; accepting is then paused.
bool ClientSessions::evict_one() {
    const auto next = next_eviction();
    const Micros now = loop_.now();
    const Micros evictable_at = next ? next->candidate.evictable_at : now + timeouts_.first_byte_grace;
    if (evictable_at > now) {
        ++counters_.waits;
        pause_accepting(evictable_at);
        return false;
    }
    // The client's next request may have arrived already, so read first. A close with unread bytes would also
    // reset the connection.
    if (!read_and_check_idle(next->id))
        return true;
    ++counters_.evicted;
    drop(next->id, decide::CloseReason::evicted);
    return true;
}

void ClientSessions::pause_accepting(Micros until) {
    if (resume_timer_ != 0)
        return;
    if (backlog_since_ == 0)
        backlog_since_ = loop_.now();
    if (listener_)
        listener_->accept(false);
    resume_timer_ = loop_.after(until - loop_.now(), [this] {
        resume_timer_ = 0;
        if (listener_)
            listener_->accept(true);
    });
}

// Reads the bytes that have arrived, then returns whether the connection still exists and may be closed.
bool ClientSessions::read_and_check_idle(ClientId id) {
    const auto before = connections_.find(id);
    if (before == connections_.end())
        return false;
    if (before->second->is_closing())
        return true;
    const bool all_read = before->second->read_now();
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second->is_closing())
        return false;
    if (!all_read)
        found->second->set_unread_until(loop_.now() + kUnreadGrace);
    const auto snapshot = found->second->snapshot();
    const auto evictable_at = decide::evictable_at(snapshot, timeouts_);
    return (evictable_at && *evictable_at <= loop_.now()) ||
           decide::has_timed_out(snapshot, loop_.now(), timeouts_);
}

// ---- Closing

std::optional<decide::ClosePermit> ClientSessions::permit_close(const Connection& connection,
                                                                decide::CloseReason reason) {
    const auto context = connection.closing_context();
    const auto permit = decide::CloseGuard::permit(context, reason);
    if (!permit) {
        events_.on_violation(*decide::CloseGuard::find_violation(context, reason), connection.id());
        return std::nullopt;
    }
    ++counters_.closed[static_cast<std::size_t>(reason)];
    events_.on_closed(connection.id(), connection.peer(), reason, context);
    return permit;
}

// Closes the connection gracefully unless a last read shows that it is not idle.
void ClientSessions::close_if_idle(ClientId id, decide::CloseReason reason) {
    if (!read_and_check_idle(id))
        return;
    Connection& connection = *connections_.at(id);
    if (connection.is_closing())
        return;
    if (faults_.closes_with_unread_bytes())
        connection.set_unread_until(loop_.now() + 1);
    if (const auto permit = permit_close(connection, reason))
        connection.close(*permit);
}

void ClientSessions::drop(ClientId id, decide::CloseReason reason) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    // A graceful close in progress already had its permit.
    if (!found->second->is_closing() && !permit_close(*found->second, reason))
        return;
    const auto dropped = std::move(found->second);
    connections_.erase(found);
    for (const auto sequence : dropped->release_all())
        events_.on_cancelled(id, sequence);
}

void ClientSessions::sweep() {
    sweep_timer_ = loop_.after(kSweepInterval, [this] {
        sweep();
    });
    close_timed_out();
    close_slow_readers();
}

void ClientSessions::close_slow_readers() {
    std::vector<ClientId> ids;
    std::vector<decide::ReaderSnapshot> readers;
    for (const auto& [id, connection] : connections_) {
        ids.push_back(id);
        readers.push_back(connection->check_reading());
    }
    for (const std::size_t index : decide::select_slow_readers(readers, limits_))
        drop(ids[index], decide::CloseReason::slow_reader);
}

void ClientSessions::close_if_over_limit(ClientId id) {
    const auto found = connections_.find(id);
    if (found != connections_.end() && decide::exceeds_unsent_limit(found->second->unsent(), limits_))
        drop(id, decide::CloseReason::slow_reader);
}

void ClientSessions::close_timed_out() {
    std::vector<ClientId> timed_out;
    for (const auto& [id, connection] : connections_) {
        const auto snapshot = connection->snapshot();
        if (faults_.closes_while_response_owed(snapshot))
            (void)permit_close(*connection, decide::CloseReason::request_timeout);
        if (decide::has_timed_out(snapshot, loop_.now(), timeouts_))
            timed_out.push_back(id);
    }
    for (const ClientId id : timed_out) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            continue;
        if (found->second->is_closing()) {
            drop(id, decide::CloseReason::linger_timeout);
            continue;
        }
        ++counters_.overdue;
        close_if_idle(id, decide::CloseReason::request_timeout);
    }
}

// ---- Responses

void ClientSessions::respond(ClientId id, std::int32_t sequence, std::string frame) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    Connection& connection = *found->second;
    if (!connection.respond(sequence, std::move(frame)))
        return;
    connection.close_if_answered();
    close_if_over_limit(id);
}

// ---- Graceful shutdown

void ClientSessions::resume_accepting() {
    loop_.cancel(std::exchange(resume_timer_, 0));
    if (listener_)
        listener_->accept(true);
}

void ClientSessions::close_idle() {
    std::vector<ClientId> idle;
    for (const auto& [id, connection] : connections_) {
        const auto snapshot = connection->snapshot();
        if (faults_.closes_while_response_owed(snapshot))
            (void)permit_close(*connection, decide::CloseReason::shutdown);
        const auto evictable_at = decide::evictable_at(snapshot, timeouts_);
        if (!snapshot.closing && evictable_at && *evictable_at <= loop_.now())
            idle.push_back(id);
    }
    for (const ClientId id : idle)
        close_if_idle(id, decide::CloseReason::shutdown);
}

void ClientSessions::close_listener(bool force) {
    if (!listener_)
        return;
    // Beyond the limit there may be no descriptors left.
    const std::size_t capacity =
        limits_.client_connections - std::min(limits_.client_connections, connections_.size());
    if (listener_->accept_pending(capacity) || force)
        listener_.reset();
}

}  // namespace gatetiller::node
