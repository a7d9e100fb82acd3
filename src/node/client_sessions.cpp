#include "node/client_sessions.hpp"

#include <algorithm>
#include <vector>

#include "node/client_connection.hpp"

namespace gatetiller::node {
namespace {

constexpr Micros kBacklogEmptyAfter = 10 * kMillisecond;  // since the last accepted connection
constexpr Micros kSweepInterval = 100 * kMillisecond;
constexpr Micros kUnreadGrace = 50 * kMillisecond;  // time to read the bytes that a last read left unread
constexpr std::size_t kSpareSlotDivisor = 8;  // graceful closes keep one in this many connection slots free

}  // namespace

ClientSessions::ClientSessions(net::Loop& loop, decide::ResourceLimits limits, Events events,
                               const FaultInjection& faults)
    : loop_(loop),
      limits_(limits),
      input_budget_(limits.input_bytes),
      events_(std::move(events)),
      faults_(faults) {}

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
    input_budget_.remove(id);
    unsent_bytes_ -= dropped->reported_unsent();
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

// A message discarded here is the largest of all clients', so this ends.
void ClientSessions::discard_excess_input() {
    while (const auto largest = input_budget_.select_discard())
        connections_.at(*largest)->discard_partial_message();
}

std::size_t ClientSessions::unsent_bytes(ClientId id) const {
    const auto found = connections_.find(id);
    return found == connections_.end() ? 0 : found->second->unsent();
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
