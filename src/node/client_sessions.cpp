#include "node/client_sessions.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxFrameBytes = 49'152;            // a statement, its fields and their headers
constexpr int kCallsPerTurn = 32;                         // of one connection, before others have their turn
constexpr Micros kBacklogEmptyAfter = 10 * kMillisecond;  // without a newcomer
constexpr Micros kSweepInterval = 100 * kMillisecond;
constexpr Micros kUnreadGrace = 50 * kMillisecond;  // in which bytes left unread by a last read are read
constexpr std::size_t kSpareShare = 8;  // one in so many places is kept free by graceful closes, if it can be

}  // namespace

class ClientSessions::Connection final : public net::StreamEvents {
public:
    Connection(ClientSessions& sessions, ClientId id, std::unique_ptr<net::Stream> stream);

    // Begins to read; to be called once it can be found by its id.
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

    // It may have waited in the listen backlog for so long.
    void set_backlog_wait(Micros wait) {
        backlog_wait_ = wait;
    }
    // Counts as having unread bytes until then, or until bytes are read.
    void set_unread_until(Micros until) {
        unread_until_ = until;
    }
    // Reads what has come by now; the connection may be gone afterwards. Whether all of it was read.
    bool read_now() {
        return stream_->read_now();
    }
    // Sends the response and returns how many bytes now wait to be sent; nothing where none is owed.
    std::optional<std::size_t> respond(std::int32_t sequence, std::string frame);
    void close_if_answered();
    // Graceful: what was sent goes out, what still comes is read and dropped.
    void close(const decide::ClosePermit& permit);
    std::set<std::int32_t> release_all() {
        return numbers_.release_all();
    }

private:
    // What became of the next message in the buffer.
    enum class Reading {
        complete,    // read; there may be more
        incomplete,  // nothing more to read in this turn
        deferred,    // complete messages are left for the next turn
        gone,        // the connection is gone
    };
    Reading read_message(Buffer& in, int calls);
    void handle(thrift::Call call);
    void handle_process(thrift::Call call);
    void end_malformed(std::int32_t sequence, thrift::Fault fault, const std::string& reason);
    Micros waited_unseen() const;

    ClientSessions& sessions_;
    ClientId id_;
    std::unique_ptr<net::Stream> stream_;
    decide::ClientSnapshot state_;  // but for the open requests, which `numbers_` knows
    decide::ClientSequenceNumbers numbers_;
    Micros backlog_wait_ = 0;    // in the listen backlog, at most
    bool deferred_ = false;      // complete messages wait for the next turn
    bool malformed_ = false;     // what still comes is dropped; closes once what was accepted is answered
    Micros deferred_since_ = 0;  // the messages deferred now have waited since then; 0: none are
    Micros waiting_since_ = 0;   // the messages read in this turn have; 0: since they came
    Micros unread_until_ = 0;    // more had come than was read: counts as unread until it is, or so long
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
    if (framing == thrift::Framing::none)
        return Reading::incomplete;
    if (calls == kCallsPerTurn) {
        state_.partial_request_since = 0;
        deferred_ = true;
        deferred_since_ = sessions_.loop_.now() - waited_unseen();
        stream_->offer();
        return Reading::deferred;
    }
    if (framing == thrift::Framing::too_long) {
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
            stream_->send(thrift::answer(call.method, call.seq, {}));
            return;
        case What::give_up:
            if (numbers_.release(call.given_up))
                sessions_.events_.on_cancelled(id_, call.given_up);
            return;
        case What::unknown:
            stream_->send(thrift::exception(call.method, call.seq, thrift::Fault::unknown_method,
                                            "no such method: " + call.method));
            return;
        case What::process:
            return handle_process(std::move(call));
    }
}

void ClientSessions::Connection::handle_process(thrift::Call call) {
    switch (numbers_.accept(call.seq)) {
        case decide::ClientSequenceNumbers::Verdict::accepted:
            break;
        case decide::ClientSequenceNumbers::Verdict::not_increasing:
            return end_malformed(call.seq, thrift::Fault::bad_sequence, "sequence numbers must climb");
        case decide::ClientSequenceNumbers::Verdict::too_many_open:
            return end_malformed(
                call.seq, thrift::Fault::protocol,
                "more than " + std::to_string(decide::ClientSequenceNumbers::kMaxOpen) + " open requests");
    }
    const Micros unseen = std::max(waited_unseen(), state_.has_sent_request ? 0 : backlog_wait_);
    state_.has_sent_request = true;
    sessions_.events_.on_request(id_, std::move(call), unseen);
}

// How long at most what is read now has waited, at this machine, to be read.
Micros ClientSessions::Connection::waited_unseen() const {
    const Micros deferred = waiting_since_ > 0 ? sessions_.loop_.now() - waiting_since_ : 0;
    return std::max({sessions_.loop_.unseen(), stream_->starved(), deferred});
}

decide::ClientSnapshot ClientSessions::Connection::snapshot() const {
    auto now = state_;
    now.open_requests = numbers_.open_count();
    now.has_unsent = stream_->unsent() > 0;
    now.has_unread = deferred_ || sessions_.loop_.now() < unread_until_;
    return now;
}

decide::ClosingContext ClientSessions::Connection::closing_context() const {
    const auto now = snapshot();
    return {now.open_requests, now.has_unsent, now.has_unread};
}

// Nothing that comes from here on can be read. The requests accepted before are still owed their responses; a
// request whose number was used again has this one.
void ClientSessions::Connection::end_malformed(std::int32_t sequence, thrift::Fault fault,
                                               const std::string& reason) {
    ++sessions_.counters_.malformed;
    stream_->send(thrift::exception("process", sequence, fault, reason));
    malformed_ = true;
    state_.partial_request_since = 0;
    if (numbers_.release(sequence))
        sessions_.events_.on_cancelled(id_, sequence);
    close_if_answered();
}

void ClientSessions::Connection::close_if_answered() {
    if (!malformed_ || state_.closing || numbers_.open_count() > 0)
        return;
    if (const auto permit = sessions_.permit_close(*this, decide::CloseReason::malformed))
        close(*permit);
}

std::optional<std::size_t> ClientSessions::Connection::respond(std::int32_t sequence, std::string frame) {
    if (!numbers_.release(sequence))
        return std::nullopt;
    state_.last_active_at = sessions_.loop_.now();
    stream_->send(std::move(frame));
    return stream_->unsent();
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
        close_timed_out();
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

// Whoever is evicted must have had time to send a request; until then newcomers wait in the listen backlog.
// The newcomer itself is accepted already, over the limit.
void ClientSessions::ensure_capacity() {
    while (connections_.size() >= limits_.client_connections)
        if (!evict_one())
            return;
    // A little ahead of need, so that nobody's last bytes cross a close that can't wait for them.
    const std::size_t spare = limits_.client_connections / kSpareShare;
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

// False: nobody may be evicted yet, and newcomers wait.
bool ClientSessions::evict_one() {
    const auto next = next_eviction();
    const Micros now = loop_.now();
    const Micros evictable_at = next ? next->candidate.evictable_at : now + timeouts_.first_byte_grace;
    if (evictable_at > now) {
        ++counters_.waits;
        pause_accepting(evictable_at);
        return false;
    }
    // Its next request may be here already: what has come is read first, and a close over unread bytes would
    // be a reset.
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

// Reads what has come. Whether the connection still exists and may be closed.
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

// Gracefully, unless what is read at the last moment shows that it is not idle.
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
    // A connection that is being closed gracefully was permitted then.
    if (!found->second->is_closing() && !permit_close(*found->second, reason))
        return;
    const auto dropped = std::move(found->second);
    connections_.erase(found);
    for (const auto sequence : dropped->release_all())
        events_.on_cancelled(id, sequence);
}

void ClientSessions::close_timed_out() {
    sweep_timer_ = loop_.after(kSweepInterval, [this] {
        close_timed_out();
    });
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
    const auto unsent = connection.respond(sequence, std::move(frame));
    if (!unsent)
        return;
    if (*unsent > limits_.unsent_bytes)
        return drop(id, decide::CloseReason::slow_reader);
    connection.close_if_answered();
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

void ClientSessions::close_listener(bool now) {
    if (!listener_)
        return;
    // Past the limit there may be no descriptor for them.
    const std::size_t capacity =
        limits_.client_connections - std::min(limits_.client_connections, connections_.size());
    if (listener_->accept_waiting(capacity) || now)
        listener_.reset();
}

}  // namespace gatetiller::node
