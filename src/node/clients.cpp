#include "node/clients.hpp"

#include <algorithm>

namespace gatetiller::node {
namespace {

constexpr std::size_t kFrameMost = 48 * 1024;    // a statement, its fields and their heads
constexpr int kCallsATurn = 32;                  // of one connection, before others have theirs
constexpr Micros kCaughtUp = 10 * kMillisecond;  // without a newcomer: the queue is empty
constexpr Micros kSweep = 100 * kMillisecond;

}  // namespace

struct Clients::Connection final : net::StreamEvents {
    Connection(Clients& c, Id number, std::unique_ptr<net::Stream> s)
        : clients(c), id(number), stream(std::move(s)) {
        facts.connected = facts.last_active = c.loop_.now();
    }

    void on_data(Buffer& in) override {
        if (facts.closing) return in.take(in.size());  // read, so that what was said is not lost to a reset
        const std::weak_ptr<char> here = alive;
        for (int calls = 0; !facts.closing; ++calls) {
            std::string_view frame;
            const auto framing = thrift::next_frame(in, kFrameMost, frame);
            if (framing == thrift::Framing::none) break;
            if (calls == kCallsATurn) return stream->offer();
            if (framing == thrift::Framing::too_long) {
                close_with(0, thrift::Fault::protocol,
                           "a message of over " + std::to_string(kFrameMost) + " bytes");
                break;
            }
            auto call = thrift::read_call(frame);
            in.take(thrift::kFrameHead + frame.size());
            if (!call) {
                close_with(0, thrift::Fault::protocol, call.error());
                break;
            }
            facts.last_active = clients.loop_.now();
            take(std::move(*call));
            if (here.expired()) return;
        }
        if (facts.closing) return in.take(in.size());
        if (in.empty()) facts.half_since = 0;
        else if (facts.half_since == 0) facts.half_since = clients.loop_.now();
    }
    void on_closed(net::Closed) override { clients.drop(id); }

    void take(thrift::Call call) {
        using What = thrift::Call::What;
        switch (call.what) {
            case What::probe:
                facts.served = true;
                stream->send(thrift::answer(call.method, call.seq, {}));
                return;
            case What::give_up:
                if (numbers.end(call.given_up)) clients.events_.given_up(id, call.given_up);
                return;
            case What::unknown:
                stream->send(thrift::exception(call.method, call.seq, thrift::Fault::unknown_method,
                                               "no such method: " + call.method));
                return;
            case What::process: break;
        }
        switch (numbers.take(call.seq)) {
            case decide::ClientNumbers::Verdict::taken: break;
            case decide::ClientNumbers::Verdict::not_climbing:
                return close_with(call.seq, thrift::Fault::bad_sequence, "sequence numbers must climb");
            case decide::ClientNumbers::Verdict::too_many:
                return close_with(
                    call.seq, thrift::Fault::protocol,
                    "more than " + std::to_string(decide::ClientNumbers::kOpenMost) + " open requests");
        }
        const Micros unseen = std::max(clients.loop_.unseen(), facts.served ? 0 : waited);
        facts.served = true;
        clients.events_.request(id, std::move(call), unseen);
    }

    decide::ClientFacts facts_now() const {
        auto now = facts;
        now.open = numbers.open();
        return now;
    }

    // Its other requests are nobody's from here on: no answer on this connection could be trusted.
    void close_with(std::int32_t seq, thrift::Fault fault, const std::string& why) {
        ++clients.counters_.malformed;
        facts.closing = true, facts.closing_since = clients.loop_.now();
        facts.half_since = 0;
        stream->send(thrift::exception("process", seq, fault, why));
        for (const auto left : numbers.end_all()) clients.events_.given_up(id, left);
    }

    Clients& clients;
    Id id;
    std::unique_ptr<net::Stream> stream;
    decide::ClientFacts facts;  // but for those open, which `numbers` knows
    decide::ClientNumbers numbers;
    Micros waited = 0;  // in the kernel's queue, at most
    std::shared_ptr<char> alive = std::make_shared<char>();
};

Clients::Clients(net::Loop& loop, decide::NodeBounds bounds, Events events)
    : loop_(loop), bounds_(bounds), events_(std::move(events)) {}

Clients::~Clients() {
    for (const auto timer : {timer_, resume_, caught_up_}) loop_.cancel(timer);
}

Result<net::Address> Clients::listen(const net::Address& at) {
    auto listener = loop_.listen(at, [this](std::unique_ptr<net::Stream> s) { accepted(std::move(s)); });
    if (!listener) return Error{listener.error()};
    listener_ = std::move(*listener);
    timer_ = loop_.after(kSweep, [this] { sweep(); });
    return listener_->address();
}

void Clients::accepted(std::unique_ptr<net::Stream> stream) {
    ++counters_.accepted;
    make_room();
    const Id id = ++last_;
    auto& c =
        connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream))).first->second;
    c->stream->events(*c);
    if (waiting_since_ == 0) return;
    c->waited = loop_.now() - waiting_since_;
    loop_.cancel(caught_up_);
    caught_up_ = loop_.after(kCaughtUp, [this] {
        caught_up_ = 0;
        if (resume_ == 0) waiting_since_ = 0;
    });
}

// Whoever leaves must have had time to speak; until then newcomers wait outside. One is in already, over the
// number.
void Clients::make_room() {
    while (connections_.size() >= bounds_.clients)
        if (!close_one()) return;
}

bool Clients::close_one() {
    std::vector<decide::ClientFacts> facts;
    std::vector<Id> ids;
    for (const auto& [id, c] : connections_) facts.push_back(c->facts_now()), ids.push_back(id);
    const auto leaves = decide::makes_room(facts);
    const Micros now = loop_.now();
    const Micros at = leaves ? decide::may_leave_at(facts[*leaves], times_) : now + times_.to_speak;
    if (at <= now) {
        ++counters_.evicted;
        drop(ids[*leaves]);
        return true;
    }
    ++counters_.waits;
    if (resume_ != 0) return false;
    if (waiting_since_ == 0) waiting_since_ = now;
    listener_->accept(false);
    resume_ = loop_.after(at - now, [this] {
        resume_ = 0;
        listener_->accept(true);
    });
    return false;
}

void Clients::reply(Id id, std::int32_t seq, std::string frame) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second->numbers.end(seq)) return;
    Connection& c = *found->second;
    c.facts.last_active = loop_.now();
    c.stream->send(std::move(frame));
    if (c.stream->unsent() > bounds_.unsent_bytes) drop(id);
}

void Clients::drop(Id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    const auto kept = std::move(found->second);
    connections_.erase(found);
    for (const auto left : kept->numbers.end_all()) events_.given_up(id, left);
}

void Clients::sweep() {
    timer_ = loop_.after(kSweep, [this] { sweep(); });
    std::vector<Id> late;
    for (const auto& [id, c] : connections_)
        if (decide::overdue(c->facts_now(), loop_.now(), times_)) late.push_back(id);
    for (const Id id : late) {
        ++counters_.overdue;
        drop(id);
    }
}

}  // namespace gatetiller::node
