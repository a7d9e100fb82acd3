#include "node/engine_link.hpp"

#include <algorithm>

#include "base/text.hpp"
#include "platform/settings.hpp"
#include "resp/resp.hpp"

namespace gatetiller::node {
namespace {

using decide::ConnectionEnd;
using decide::ExchangeResult;
using decide::WriteProgress;
using Status = ExchangeResult::Status;

// A request that has waited longer than this to go out is written anew, with the time that is then left.
constexpr Micros kFresh = 10 * kMillisecond;

// A request that has gone out in part for longer than this is cut off and tried anew: the time left that
// stands in its first bytes is no longer true.
constexpr Micros kBegunMost = 120 * kMillisecond;

// Without a word for so long a request may lie unread at a proxy or an engine that hangs.
constexpr Micros kSilent = 300 * kMillisecond;

const resp::Limits kAnswer{4, 8 * 1024};

std::optional<LoadReport> report_of(std::string_view gauges) {
    LoadReport report;
    bool any = false;
    for (const auto part : split(gauges, ';')) {
        const std::size_t colon = part.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto member = platform::report_field(part.substr(0, colon));
        const auto value = to_number<double>(part.substr(colon + 1));
        if (member && value)
            report.*member = *value, any = true;
    }
    return any ? std::optional(report) : std::nullopt;
}

}  // namespace

struct Exchange::Connection final : net::StreamEvents {
    Connection(EngineLink& l)
        : link(l), number(++l.pool_.opened), opened_at(l.loop_.now()), used(l.loop_.now()) {
        ++link.pool_.open;
    }
    ~Connection() override {
        if (link.pool_.trace)
            trace("closed with " + std::to_string(unsent_bytes()) + " bytes unsent");
        --link.pool_.open;
    }

    std::string name() const {
        return "connection " + std::to_string(number) + " to " + link.address_.text();
    }
    std::size_t unsent_bytes() const {
        return stream ? stream->unsent() : 0;
    }
    void trace(const std::string& what) const {
        link.pool_.trace(name() + " " + what + " open=" + std::to_string(open.size()) +
                         " ms=" + std::to_string((link.loop_.now() - opened_at) / kMillisecond));
    }
    void on_connected() override {
        up = true;
        if (link.pool_.trace)
            trace("is up");
    }

    void on_data(Buffer& in) override {
        const std::weak_ptr<char> here = alive;
        std::vector<std::string_view> words;
        std::size_t size = 0;
        for (;;) {
            const auto reading = resp::read_array(in.view(), kAnswer, words, size);
            if (reading == resp::Reading::none)
                return;
            if (reading == resp::Reading::spoilt || words.size() != 4)
                return spoil("an answer that can't be read");
            // Copied, since what it leads to may destroy this connection with its buffer.
            const std::string id(words[0]), word(words[1]), fields(words[2]), body(words[3]);
            in.take(size);
            if (!take(id, word, fields, body) || here.expired())
                return;
        }
    }
    void on_closed(net::Closed how) override {
        switch (how) {
            case net::Closed::refused:
            case net::Closed::too_late:
                ++link.pool_.refused;
                return end_all(ConnectionEnd::never_established, true, "no connection");
            case net::Closed::local:
                ++link.pool_.lacked;
                return end_all(ConnectionEnd::local_resource_exhausted, true,
                               "this machine lacks something for a connection");
            case net::Closed::by_peer:
            case net::Closed::reset:
                break;
        }
        ++link.pool_.broken;
        end_all(ConnectionEnd::broken, true, "the connection ended");
    }
    // Requests that waited, as far as they may go out now: each must bear the time that is left to it.
    void on_sending(std::size_t most) override {
        std::erase_if(unsent, [&](const Exchange* e) {
            return stream->written(e->asked_) == net::Written::whole;
        });
        auto waiting = unsent;  // what may not begin any more leaves it
        const bool one_has_begun =
            !waiting.empty() && stream->written(waiting.front()->asked_) == net::Written::part;
        if (one_has_begun) {
            if (link.loop_.now() - waiting.front()->written_at_ > kBegunMost)
                return cut_off("its first part had gone out too long ago");
            waiting.erase(waiting.begin());
        }
        std::size_t bytes = 0;
        for (auto e = waiting.begin(); e != waiting.end() && bytes < most; ++e)
            bytes += prepare(**e);
    }
    void on_sent() override {
        unsent.clear();
    }

    // Its size as it will go out; nothing where it may not.
    std::size_t prepare(Exchange& e) {
        if (e.events_.may_begin(number))
            return renew(e);
        withdraw(e);
        return 0;
    }
    std::size_t renew(Exchange& e) {
        if (link.loop_.now() - e.written_at_ < kFresh)
            return e.size_;
        if (const auto request = e.events_.request()) {
            auto bytes = resp::array({"do", e.id_, request->fields, request->body});
            e.size_ = bytes.size(), e.written_at_ = link.loop_.now();
            ++link.pool_.renewed;
            stream->replace(e.asked_, std::move(bytes));
            return e.size_;
        }
        withdraw(e);
        return 0;
    }
    // It may not begin any more. Told in a later turn, as the stream is at its writing.
    void withdraw(Exchange& e) {
        if (!stream->take_back(e.asked_))
            return;
        e.asked_ = 0;
        for (const auto change : std::exchange(e.changes_, {}))
            stream->take_back(change);
        std::erase(unsent, &e);
        link.loop_.after(0, [this, here = std::weak_ptr<char>(alive), id = e.id_] {
            if (here.expired())
                return;
            const auto found = open.find(id);
            if (found == open.end() || found->second->asked_ != 0)
                return;
            ExchangeResult end;
            end.status = Status::not_sent, end.detail = "it waited until it might not begin any more";
            finish(*found->second, std::move(end));
        });
    }
    void write(Exchange& e, const Exchange::Events::Request& request) {
        auto bytes = resp::array({"do", e.id_, request.fields, request.body});
        e.size_ = bytes.size(), e.written_at_ = link.loop_.now();
        e.asked_ = say(std::move(bytes));
        e.ends_at_ = given;
        unsent.push_back(&e);
    }
    net::SendId say(std::string bytes) {
        given += bytes.size();
        return stream->send(std::move(bytes));
    }
    // Of a request a part has gone out, and the rest must not follow it. What else is open here ends too,
    // each with what that proves; in a later turn, as the caller is still at it.
    void cut_off(const char* why) {
        stream->drop_unsent();
        link.loop_.after(0, [this, here = std::weak_ptr<char>(alive), why] {
            if (!here.expired())
                end_all(ConnectionEnd::broken, true, why);
        });
    }

    // False: this connection is no more.
    bool take(const std::string& id, const std::string& word, const std::string& text,
              const std::string& body) {
        if (word == "PONG")
            return true;
        decide::ResponseFields fields;
        if (!fields.parse(text))
            return spoil("fields that can't be read"), false;
        const auto found = open.find(id);
        if (found == open.end())
            return ++link.pool_.unasked, true;
        Exchange& e = *found->second;
        e.heard_ = true;
        ExchangeResult end;
        end.load_report = report_of(fields.find("gauges"));
        if (word == "INFO") {
            const auto value = to_number<double>(fields.find("amount"));
            const auto note = fields.find("res");
            if (!value)
                return true;  // no note in it
            const std::weak_ptr<char> here = alive;
            if (note == "so_far")
                e.events_.on_note(ProgressKind::fraction_done, *value);
            else if (note == "lacking")
                e.events_.on_note(ProgressKind::spilling, *value);
            else if (note == "waiting")
                e.events_.on_note(ProgressKind::waiting, *value);
            return !here.expired();
        }
        if (word == "HIT") {
            if (e.pages_.started())
                return ++link.pool_.unasked, true;
            const auto pages = to_number<std::size_t>(fields.find("chunks"));
            if (!e.pages_.start(pages.value_or(1), body))
                return spoil("a page that can't be read"), false;
            e.served_.work_ms = to_number<double>(fields.find("spent")).value_or(0);
            e.served_.needed_mb = to_number<double>(fields.find("wanted")).value_or(0);
            e.served_.load_report = end.load_report;
            for (std::size_t n = 1; n < e.pages_.pages(); ++n)
                say(resp::array({"page", id, std::to_string(n)}));
        } else if (word == "PART") {
            switch (e.pages_.add(to_number<std::size_t>(fields.find("at")).value_or(0), body)) {
                case decide::ResultPages::PageVerdict::accepted:
                    break;
                case decide::ResultPages::PageVerdict::not_requested:
                    return ++link.pool_.unasked, true;
                case decide::ResultPages::PageVerdict::malformed:
                    return spoil("a page that can't be read"), false;
            }
        } else if (word == "SHED" || word == "LATE" || word == "FAULT") {
            if (word != "FAULT" && e.pages_.started())
                return spoil("an end after a result"), false;
            end.status = word == "SHED"   ? Status::rejected
                         : word == "LATE" ? Status::deadline_passed
                                          : Status::failed;
            end.detail = body.substr(0, 80);
            return finish(e, std::move(end));
        } else {
            return spoil("an answer of an unknown kind"), false;
        }
        if (!e.pages_.complete())
            return true;
        e.served_.status = Status::completed;
        e.served_.rows = e.pages_.take_rows();
        return finish(e, std::move(e.served_));
    }

    decide::ConnectionSnapshot facts(const std::string& id) const {
        return {open.size(), ids.size(), ids.contains(id), retired, used};
    }
    bool finish(Exchange& e, ExchangeResult end) {
        release(e);
        const std::weak_ptr<char> here = alive;
        e.events_.on_end(std::move(end));
        if (here.expired())
            return false;
        return tidy();
    }
    void release(Exchange& e) {
        open.erase(e.id_);
        std::erase(unsent, &e);
        e.on_ = nullptr;
        used = link.loop_.now();
    }
    // Whatever still comes under its id must not count for another attempt, and one whose answer never comes
    // serves no further use.
    void give_up(Exchange& e) {
        gave_up_silent = gave_up_silent || silent(e);
        release(e);
        retired = true;
        tidy();
    }
    // Closes what is of no further use. False: this connection is no more.
    bool tidy() {
        if (!retired || !open.empty())
            return true;
        if (holds_unacknowledged() || gave_up_silent)
            discard();
        link.over(*this);
        return false;
    }
    // Whether the kernel still holds bytes for an engine that may be cut off, or read nothing, for long.
    bool holds_unacknowledged() const {
        return stream && stream->unacknowledged().value_or(0) > 0;
    }
    // The same of a request: of what the kernel holds, what was given to it later is the last.
    bool holds_unacknowledged(const Exchange& e) const {
        const std::size_t behind = given - std::min(given, e.ends_at_);
        const std::size_t behind_in_kernel = behind - std::min(behind, unsent_bytes());
        return stream && stream->unacknowledged().value_or(0) > behind_in_kernel;
    }
    // Nothing has been heard of it for so long that it may lie unread somewhere on its way, acknowledged or
    // not.
    bool silent(const Exchange& e) const {
        return !e.heard_ && link.loop_.now() - e.written_at_ > kSilent;
    }
    // Of what was given up nothing may begin any more. A reset gives up as much as an `undo` does.
    void discard() {
        ++link.pool_.discarded;
        stream->discard();
    }
    void spoil(const char* why) {
        ++link.pool_.spoilt;
        end_all(ConnectionEnd::broken, false, why);
    }
    // `over`: the stream has ended, and nothing more of it goes out. Else what was begun may still go out
    // whole when it is closed.
    void end_all(ConnectionEnd link_end, bool stream_over, const char* why) {
        if (link.pool_.trace)
            trace(std::string("ends: ") + why);
        std::vector<std::pair<Events*, Status>> told;
        for (const auto& [id, e] : std::exchange(open, {})) {
            const auto handed = stream->take_back(e->asked_) ? WriteProgress::none
                                : stream_over && stream->written(e->asked_) != net::Written::whole
                                    ? WriteProgress::partial
                                    : WriteProgress::complete;
            told.emplace_back(&e->events_, decide::classify_connection_end(link_end, handed));
            e->on_ = nullptr;
        }
        unsent.clear();
        if (holds_unacknowledged())
            discard();  // not where the stream has ended: nothing of it is held any more
        stream.reset();
        link.over(*this);  // `this` is no more: only what was copied counts from here
        for (const auto& [events, how] : told) {
            ExchangeResult end;
            end.status = how, end.detail = why;
            events->on_end(std::move(end));
        }
    }

    EngineLink& link;
    std::uint64_t number;  // among all that the front node opened; for logs
    Micros opened_at;
    bool up = false;
    std::unique_ptr<net::Stream> stream;
    std::map<std::string, Exchange*> open;
    std::vector<Exchange*>
        unsent;  // of those open, what the kernel has not taken whole, as far as is known; in order
    std::set<std::string> ids;  // ever asked here: a second attempt under one of them goes elsewhere
    Micros used;
    bool retired = false;
    bool gave_up_silent = false;  // a request of which nothing had been heard
    std::size_t given = 0;        // bytes given to the stream in all
    std::shared_ptr<char> alive = std::make_shared<char>();
};

bool Exchange::take_back() {
    if (!on_ || !on_->stream->take_back(asked_))
        return false;
    for (const auto change : changes_)
        on_->stream->take_back(change);  // behind it, so as little written
    Connection& c = *on_;
    c.ids.erase(id_);
    c.release(*this);
    c.tidy();
    return true;
}

bool Exchange::withhold() {
    if (take_back())
        return true;
    if (!on_ || on_->stream->written(asked_) != net::Written::part)
        return false;
    on_->cut_off("cut off in the middle of a request given up");
    on_->give_up(*this);
    return true;
}

bool Exchange::discard_unacknowledged() {
    if (!on_ || on_->open.size() != 1 || !on_->holds_unacknowledged(*this))
        return false;
    on_->give_up(*this);  // which closes the connection, as nothing else is open there
    return true;
}

Exchange::~Exchange() {
    if (!on_ || withhold())
        return;
    on_->say(resp::array({pages_.started() ? "forget" : "undo", id_}));
    on_->give_up(*this);
}

std::string Exchange::state() const {
    if (!on_)
        return "over";
    const auto written = on_->stream->written(asked_);
    const char* const gone = written == net::Written::whole  ? "gone out whole"
                             : written == net::Written::part ? "gone out in part"
                                                             : "not gone out";
    const auto unacknowledged = on_->stream->unacknowledged();
    return on_->name() + (on_->up ? " (up)" : " (not up)") + ", " + gone +
           (unacknowledged ? ", unacknowledged " + std::to_string(*unacknowledged) : "");
}

void Exchange::priority(int level) {
    if (on_ && !pages_.started())
        changes_.push_back(on_->say(resp::array({"bump", id_, std::to_string(level)})));
}

EngineLink::EngineLink(net::Loop& loop, net::Address address, decide::ConnectionLimits limits, LinkPool& pool)
    : loop_(loop), address_(std::move(address)), limits_(limits), pool_(pool) {}

EngineLink::~EngineLink() {
    for (auto& c : connections_)
        for (auto& [id, e] : c->open)
            e->on_ = nullptr;
}

void EngineLink::end_all(const char* why) {
    while (!connections_.empty())
        connections_.front()->end_all(ConnectionEnd::broken, false, why);
}

void EngineLink::end_unacknowledged(const char* why) {
    std::vector<Exchange::Connection*> stuck;
    for (const auto& c : connections_) {
        const bool holds = std::any_of(c->open.begin(), c->open.end(), [&](const auto& open) {
            return c->holds_unacknowledged(*open.second);
        });
        if (holds)
            stuck.push_back(c.get());
    }
    for (auto* const c : stuck) {
        const bool still = std::any_of(connections_.begin(), connections_.end(), [&](const auto& kept) {
            return kept.get() == c;
        });
        if (still)
            c->end_all(ConnectionEnd::broken, false, why);
    }
}

std::size_t EngineLink::open() const {
    std::size_t n = 0;
    for (const auto& c : connections_)
        n += c->open.size();
    return n;
}

Exchange::Connection* EngineLink::choose(const std::string& id) {
    std::vector<decide::ConnectionSnapshot> facts;
    facts.reserve(connections_.size());
    for (const auto& c : connections_)
        facts.push_back(c->facts(id));
    const auto choice = decide::choose_connection(facts, loop_.now(), limits_);
    auto* const use = choice.reuse ? connections_[*choice.reuse].get() : nullptr;
    const auto room = [&] {
        return pool_.open < pool_.most || (pool_.make_room && pool_.make_room());
    };
    if (use && !(choice.open_if_capacity && room()))
        return use;
    connections_.push_back(std::make_unique<Exchange::Connection>(*this));
    auto& fresh = *connections_.back();
    fresh.stream = loop_.connect(address_, fresh, limits_.connect_timeout);
    return &fresh;
}

std::unique_ptr<Exchange> EngineLink::ask(const decide::AttemptPermit&, const std::string& id,
                                          Exchange::Events& events) {
    const auto request = events.request();
    if (!request)
        return nullptr;
    auto* c = choose(id);
    std::unique_ptr<Exchange> e(new Exchange(id, events));
    e->on_ = c;
    c->open.emplace(id, e.get());
    c->ids.insert(id);
    c->write(*e, *request);
    return e;
}

void EngineLink::over(Exchange::Connection& c) {
    const auto at = std::find_if(connections_.begin(), connections_.end(), [&](const auto& held) {
        return held.get() == &c;
    });
    if (at == connections_.end())
        return;
    const auto kept = std::move(*at);  // destroyed when this returns
    connections_.erase(at);
}

void EngineLink::close_idle() {
    std::erase_if(connections_, [&](const auto& c) {
        return decide::near_idle_timeout(c->facts(""), loop_.now(), limits_);
    });
}

bool EngineLink::drop_one_idle() {
    const auto at = std::find_if(connections_.begin(), connections_.end(), [](const auto& c) {
        return c->open.empty();
    });
    if (at == connections_.end())
        return false;
    connections_.erase(at);
    return true;
}

}  // namespace gatetiller::node
