#include "node/clients.hpp"

#include <algorithm>

#include "base/planted.hpp"

namespace gatetiller::node {
namespace {

constexpr std::size_t kFrameMost = 48 * 1024;    // a statement, its fields and their heads
constexpr int kCallsATurn = 32;                  // of one connection, before others have theirs
constexpr Micros kCaughtUp = 10 * kMillisecond;  // without a newcomer: the queue is empty
constexpr Micros kSweep = 100 * kMillisecond;
constexpr Micros kReadsOn = 50 * kMillisecond;  // within which what was left unread at a last look is read
constexpr std::size_t kSpareShare = 8;  // one in so many places is kept free by graceful closes, if it can be

// The planted faults of closing: whether one of them would close a connection with these facts.
bool closes_wrongly(const decide::ClientSnapshot& facts) {
    if (facts.closing)
        return false;
    if (planted("close_with_request_open") && facts.open_requests > 0)
        return true;
    return planted("close_with_answer_unsent") && facts.open_requests == 0 && facts.has_unsent;
}

}  // namespace

struct Clients::Connection final : net::StreamEvents {
    Connection(Clients& c, Id number, std::unique_ptr<net::Stream> s)
        : clients(c), id(number), stream(std::move(s)) {
        facts.connected_at = facts.last_active_at = c.loop_.now();
    }

    void on_data(Buffer& in) override {
        const std::weak_ptr<char> here = alive;
        offered = false, unread_until = 0;
        waiting_since = std::exchange(left_since, 0);
        for (int calls = 0; !facts.closing && !malformed; ++calls) {
            std::string_view frame;
            const auto framing = thrift::next_frame(in, kFrameMost, frame);
            if (framing == thrift::Framing::none)
                break;
            if (calls == kCallsATurn) {
                facts.partial_request_since = 0;
                offered = true;
                left_since = clients.loop_.now() - waited_unseen();
                return stream->offer();
            }
            if (framing == thrift::Framing::too_long) {
                close_with(0, thrift::Fault::protocol,
                           "a message of over " + std::to_string(kFrameMost) + " bytes");
                break;
            }
            auto call = thrift::read_call(frame);
            in.take(thrift::kFrameHead + frame.size());
            facts.last_active_at = clients.loop_.now();
            if (call)
                take(std::move(*call));
            else
                close_with(0, thrift::Fault::protocol, call.error());
            if (here.expired())
                return;
        }
        if (malformed)
            return in.take(in.size());
        if (facts.closing)
            return;
        if (in.empty())
            facts.partial_request_since = 0;
        else if (facts.partial_request_since == 0)
            facts.partial_request_since = clients.loop_.now();
    }
    void on_closed(net::Closed) override {
        clients.drop(id, decide::CloseReason::peer_closed);
    }

    void take(thrift::Call call) {
        using What = thrift::Call::What;
        switch (call.what) {
            case What::probe:
                facts.has_sent_request = true;
                stream->send(thrift::answer(call.method, call.seq, {}));
                return;
            case What::give_up:
                if (numbers.release(call.given_up))
                    clients.events_.given_up(id, call.given_up);
                return;
            case What::unknown:
                stream->send(thrift::exception(call.method, call.seq, thrift::Fault::unknown_method,
                                               "no such method: " + call.method));
                return;
            case What::process:
                break;
        }
        switch (numbers.accept(call.seq)) {
            case decide::ClientSequenceNumbers::Verdict::accepted:
                break;
            case decide::ClientSequenceNumbers::Verdict::not_increasing:
                return close_with(call.seq, thrift::Fault::bad_sequence, "sequence numbers must climb");
            case decide::ClientSequenceNumbers::Verdict::too_many_open:
                return close_with(call.seq, thrift::Fault::protocol,
                                  "more than " + std::to_string(decide::ClientSequenceNumbers::kMaxOpen) +
                                      " open requests");
        }
        const Micros unseen = std::max(waited_unseen(), facts.has_sent_request ? 0 : waited);
        facts.has_sent_request = true;
        clients.events_.request(id, std::move(call), unseen);
    }

    // How long at most what is read now has waited, at this machine, for its reading.
    Micros waited_unseen() const {
        const Micros left_over = waiting_since > 0 ? clients.loop_.now() - waiting_since : 0;
        return std::max({clients.loop_.unseen(), stream->starved(), left_over});
    }

    decide::ClientSnapshot facts_now() const {
        auto now = facts;
        now.open_requests = numbers.open_count();
        now.has_unsent = stream->unsent() > 0;
        now.has_unread = offered || clients.loop_.now() < unread_until;
        return now;
    }
    decide::ClosingContext closing_facts() const {
        const auto now = facts_now();
        return {now.open_requests, now.has_unsent, now.has_unread};
    }

    // Nothing that comes from here on can be read. What was taken before is still owed its answer; a request
    // whose number was used again has this one.
    void close_with(std::int32_t seq, thrift::Fault fault, const std::string& why) {
        ++clients.counters_.malformed;
        stream->send(thrift::exception("process", seq, fault, why));
        malformed = true;
        facts.partial_request_since = 0;
        if (numbers.release(seq))
            clients.events_.given_up(id, seq);
        close_if_answered();
    }
    void close_if_answered() {
        if (!malformed || facts.closing || numbers.open_count() > 0)
            return;
        if (const auto permit = clients.may_close(*this, decide::CloseReason::malformed))
            close(*permit);
    }

    // Graceful: what was said goes out, what still comes is read and dropped.
    void close(const decide::ClosePermit&) {
        facts.closing = true, facts.closing_since = clients.loop_.now();
        facts.partial_request_since = 0;
        stream->finish();
    }

    Clients& clients;
    Id id;
    std::unique_ptr<net::Stream> stream;
    decide::ClientSnapshot facts;  // but for those open, which `numbers` knows
    decide::ClientSequenceNumbers numbers;
    Micros waited = 0;       // in the kernel's queue, at most
    bool offered = false;    // whole messages wait for the next turn
    bool malformed = false;  // what still comes is dropped; it is closed once what was taken is answered
    Micros left_since = 0, waiting_since = 0;  // they have waited since then; those read now have
    Micros unread_until = 0;  // more had come than was read at once: until it is read, or so long
    std::shared_ptr<char> alive = std::make_shared<char>();
};

Clients::Clients(net::Loop& loop, decide::ResourceLimits bounds, Events events)
    : loop_(loop), bounds_(bounds), events_(std::move(events)) {}

Clients::~Clients() {
    for (const auto timer : {timer_, resume_, caught_up_})
        loop_.cancel(timer);
}

Result<net::Address> Clients::listen(const net::Address& at) {
    auto listener = loop_.listen(at, [this](std::unique_ptr<net::Stream> s) {
        accepted(std::move(s));
    });
    if (!listener)
        return listener.failure();
    listener_ = std::move(*listener);
    timer_ = loop_.after(kSweep, [this] {
        sweep();
    });
    return listener_->address();
}

void Clients::accepted(std::unique_ptr<net::Stream> stream) {
    ++counters_.accepted;
    make_room();
    const Id id = ++last_;
    auto& c =
        connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream))).first->second;
    c->stream->events(*c);
    if (waiting_since_ == 0)
        return;
    c->waited = loop_.now() - waiting_since_;
    loop_.cancel(caught_up_);
    caught_up_ = loop_.after(kCaughtUp, [this] {
        caught_up_ = 0;
        if (resume_ == 0)
            waiting_since_ = 0;
    });
}

// Whoever leaves must have had time to speak; until then newcomers wait outside. One is in already, over the
// number.
void Clients::make_room() {
    while (connections_.size() >= bounds_.client_connections)
        if (!close_one())
            return;
    // A little ahead of need, so that nobody's last bytes cross a close that can't wait for them.
    const std::size_t spare = bounds_.client_connections / kSpareShare;
    if (connections_.size() + spare < bounds_.client_connections)
        return;
    const auto [leaver, id] = next_to_leave();
    if (leaver && leaver->evictable_at <= loop_.now() && !connections_.at(id)->facts.closing)
        close_at_rest(id, decide::CloseReason::evicted);
}

std::pair<std::optional<decide::EvictionCandidate>, Clients::Id> Clients::next_to_leave() const {
    std::vector<decide::ClientSnapshot> facts;
    std::vector<Id> ids;
    for (const auto& [id, c] : connections_)
        facts.push_back(c->facts_now()), ids.push_back(id);
    const auto leaver = decide::select_eviction(facts, loop_.now(), times_);
    return {leaver, leaver ? ids[leaver->index] : 0};
}

bool Clients::close_one() {
    const auto [leaver, id] = next_to_leave();
    const Micros now = loop_.now(), at = leaver ? leaver->evictable_at : now + times_.first_byte_grace;
    if (at <= now) {
        // It may be asking right now: what has come already is read first, and a close over unread bytes
        // would be a reset.
        if (!at_rest_now(id))
            return true;
        ++counters_.evicted;
        drop(id, decide::CloseReason::evicted);
        return true;
    }
    ++counters_.waits;
    if (resume_ != 0)
        return false;
    if (waiting_since_ == 0)
        waiting_since_ = now;
    if (listener_)
        listener_->accept(false);
    resume_ = loop_.after(at - now, [this] {
        resume_ = 0;
        if (listener_)
            listener_->accept(true);
    });
    return false;
}

// Reads what has come. Whether the connection still stands and may be closed.
bool Clients::at_rest_now(Id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return false;
    if (found->second->facts.closing)
        return true;
    const bool read_all = found->second->stream->read_now();
    const auto still = connections_.find(id);
    if (still == connections_.end() || still->second->facts.closing)
        return false;
    if (!read_all)
        still->second->unread_until = loop_.now() + kReadsOn;
    const auto facts = still->second->facts_now();
    const auto at = decide::evictable_at(facts, times_);
    return (at && *at <= loop_.now()) || decide::has_timed_out(facts, loop_.now(), times_);
}

std::optional<decide::ClosePermit> Clients::may_close(const Connection& c, decide::CloseReason reason) {
    const auto facts = c.closing_facts();
    const auto permit = decide::CloseGuard::permit(facts, reason);
    if (!permit) {
        events_.violated(*decide::CloseGuard::find_violation(facts, reason), c.id);
        return std::nullopt;
    }
    ++counters_.closed[static_cast<std::size_t>(reason)];
    events_.closed(c.id, c.stream->peer(), reason, facts);
    return permit;
}

void Clients::close_at_rest(Id id, decide::CloseReason reason) {
    if (!at_rest_now(id))
        return;
    auto& c = *connections_.at(id);
    if (c.facts.closing)
        return;
    if (planted("close_over_unread_bytes"))
        c.unread_until = loop_.now() + 1;
    if (const auto permit = may_close(c, reason))
        c.close(*permit);
}

void Clients::accept_again() {
    loop_.cancel(std::exchange(resume_, 0));
    if (listener_)
        listener_->accept(true);
}

void Clients::wind_down() {
    std::vector<Id> resting;
    for (const auto& [id, c] : connections_) {
        const auto facts = c->facts_now();
        if (closes_wrongly(facts))
            (void)may_close(*c, decide::CloseReason::shutdown);
        const auto at = decide::evictable_at(facts, times_);
        if (!c->facts.closing && at && *at <= loop_.now())
            resting.push_back(id);
    }
    for (const Id id : resting)
        close_at_rest(id, decide::CloseReason::shutdown);
}

void Clients::close_listener(bool now) {
    if (!listener_)
        return;
    // Past the table's number there may be no descriptor for them.
    const std::size_t room =
        bounds_.client_connections - std::min(bounds_.client_connections, connections_.size());
    if (listener_->accept_waiting(room) || now)
        listener_.reset();
}

void Clients::reply(Id id, std::int32_t seq, std::string frame) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second->numbers.release(seq))
        return;
    Connection& c = *found->second;
    c.facts.last_active_at = loop_.now();
    c.stream->send(std::move(frame));
    if (c.stream->unsent() > bounds_.unsent_bytes)
        return drop(id, decide::CloseReason::slow_reader);
    c.close_if_answered();
}

void Clients::drop(Id id, decide::CloseReason reason) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    // One that is being closed gracefully was permitted then.
    if (!found->second->facts.closing && !may_close(*found->second, reason))
        return;
    const auto kept = std::move(found->second);
    connections_.erase(found);
    for (const auto left : kept->numbers.release_all())
        events_.given_up(id, left);
}

void Clients::sweep() {
    timer_ = loop_.after(kSweep, [this] {
        sweep();
    });
    std::vector<Id> late;
    for (const auto& [id, c] : connections_) {
        const auto facts = c->facts_now();
        if (closes_wrongly(facts))
            (void)may_close(*c, decide::CloseReason::request_timeout);
        if (decide::has_timed_out(facts, loop_.now(), times_))
            late.push_back(id);
    }
    for (const Id id : late) {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            continue;
        if (found->second->facts.closing) {
            drop(id, decide::CloseReason::linger_timeout);
            continue;
        }
        ++counters_.overdue;
        close_at_rest(id, decide::CloseReason::request_timeout);
    }
}

}  // namespace gatetiller::node
