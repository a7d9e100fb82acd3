#include "lab/platform.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/bytes.hpp"
#include "base/text.hpp"
#include "decide/engine_exchange.hpp"
#include "dns/dns.hpp"
#include "engine/service.hpp"
#include "resp/resp.hpp"

namespace gatetiller::lab {
namespace {

constexpr std::size_t kPageBytes = 2000;
const resp::Limits kCommand{4, 64 * 1024};

std::vector<std::string> pages_of(const std::string& rows) {
    std::vector<std::string> pages{""};
    for (std::size_t at = 0; at < rows.size();) {
        const std::size_t end = rows.find('\n', at) + 1;
        if (pages.back().size() + end - at > kPageBytes)
            pages.emplace_back();
        pages.back().append(rows, at, end - at);
        at = end;
    }
    return pages;
}

std::string record_of(const std::string& owner, int type, const std::string& data) {
    std::string out = owner;
    append_big_endian(out, static_cast<unsigned>(type), 2), append_big_endian(out, 1, 2),
        append_big_endian(out, 5, 4), append_big_endian(out, data.size(), 2);
    return out + data;
}

}  // namespace

std::string rows_of(std::string_view sql, std::size_t rows) {
    std::string text;
    for (std::size_t i = 0; i < rows; ++i)
        text += std::to_string(i) + "\t" + engine::row_of(sql, i) + "\trow " + std::to_string(i) + "\n";
    return text;
}

// ---- The engine

struct PlatformEngine::Connection final : net::StreamEvents {
    Connection(PlatformEngine& e, std::string f, std::unique_ptr<net::Stream> s)
        : engine(e), front(std::move(f)), stream(std::move(s)) {}
    void on_data(Buffer& in) override {
        std::vector<std::string_view> words;
        std::size_t size = 0;
        const std::weak_ptr<char> here = engine.alive_;
        while (!over) {
            const auto reading = resp::read_array(in.view(), kCommand, words, size);
            if (reading == resp::ParseStatus::incomplete)
                return;
            if (reading == resp::ParseStatus::malformed) {
                engine.unusable_.push_back("what can't be read from " + front);
                return close();
            }
            engine.take(*this, words);
            if (here.expired())
                return;
            if (!over)
                in.consume(size);
        }
    }
    void on_closed(net::Closed) override {
        close();
    }
    void close() {
        if (std::exchange(over, true))
            return;
        stream.reset();
        const auto ended = std::exchange(open, {});
        for (const auto& [id, run] : ended)
            engine.end(*run, "connection_ended");
    }

    PlatformEngine& engine;
    std::string front;
    std::unique_ptr<net::Stream> stream;
    std::map<std::string, std::shared_ptr<Run>> open;
    std::map<std::string, std::vector<std::string>> results;
    bool over = false, dumb = false;  // dumb: it broke an answer off and says nothing more here
};

struct PlatformEngine::Run {
    Connection* on = nullptr;  // none: it is over
    std::string id, front, sql;
    engine::Hints hints;
    bool started = false;
    Micros since = 0;
};

PlatformEngine::PlatformEngine(net::Loop& loop, PlatformEngineSettings settings, Records& records)
    : loop_(loop), settings_(std::move(settings)), records_(records), random_(settings_.seed) {}

PlatformEngine::~PlatformEngine() {
    die();
}

Result<net::Address> PlatformEngine::listen(const std::string& front, const net::Address& at) {
    auto listener = loop_.listen(at, [this, front](std::unique_ptr<net::Stream> s) {
        std::erase_if(connections_, [](const auto& c) {
            return c->over;
        });
        connections_.push_back(std::make_unique<Connection>(*this, front, std::move(s)));
        connections_.back()->stream->events(*connections_.back());
    });
    if (!listener)
        return Error{listener.error()};
    listeners_.push_back(std::move(*listener));
    return listeners_.back()->address();
}

void PlatformEngine::die() {
    alive_ = std::make_shared<char>();
    listeners_.clear();
    for (const auto& c : connections_)
        c->close();
    connections_.clear();
    line_.clear();
    running_ = 0;
}

std::size_t PlatformEngine::open() const {
    std::size_t n = 0;
    for (const auto& c : connections_)
        n += c->open.size();
    return n;
}

void PlatformEngine::record(const std::string& event, const std::string& front, const std::string& id) {
    engine::Entry e;
    e.at = loop_.now(), e.event = event, e.trace = id, e.front = front;
    records_.engines.push_back({settings_.name, std::move(e)});
}

void PlatformEngine::say(Connection& c, std::string bytes) {
    if (!c.over && !c.dumb)
        c.stream->send(std::move(bytes));
}

std::string PlatformEngine::message(const std::string& id, std::string_view kind, std::string fields,
                                    std::string_view body) const {
    if (alter_fields)
        fields = alter_fields(kind, std::move(fields));
    return resp::array({id, kind, fields, body});
}

void PlatformEngine::take(Connection& c, const std::vector<std::string_view>& words) {
    const std::string verb(words.empty() ? "" : words[0]), id(words.size() > 1 ? words[1] : "");
    if (verb != "do") {
        std::string text;
        for (const auto word : words)
            text += (text.empty() ? "" : " ") + std::string(word);
        commands.push_back(text);
        if (verb == "undo") {
            if (const auto found = c.open.find(id); found != c.open.end()) {
                const auto run = found->second;
                c.open.erase(found);
                end(*run, "undone");
            }
        } else if (verb == "page" && words.size() == 3) {
            const auto found = c.results.find(id);
            const auto n = to_number<std::size_t>(words[2]).value_or(0);
            if (found == c.results.end() || n == 0 || n >= found->second.size() ||
                random_.chance(faults_.lost_page))
                return say(c, resp::array({id, "FAULT", "-", "no such page"}));
            say(c, message(id, "PART", "at=" + std::to_string(n), found->second[n]));
        } else if (verb == "forget") {
            c.results.erase(id);
        } else if (verb == "ping") {
            say(c, resp::array({id, "PONG", "-", ""}));
        } else if (verb != "bump") {
            unusable_.push_back(text);
        }
        return;
    }
    decide::ResponseFields fields;
    const bool readable = words.size() == 4 && fields.parse(words[2]);
    const auto ms = to_number<std::int64_t>(fields.find("ms").value_or(""));
    const auto hints = readable ? engine::read_hints(words[3]) : Result<engine::Hints>(Error{"no statement"});
    const auto level =
        fields.contains("level") ? to_number<int>(fields.find("level").value_or("")).value_or(-1) : 1;
    if (!readable || fields.find("kind").value_or("").empty() || !ms || *ms < 1 || level < 0 || level > 3 ||
        !hints || c.open.contains(id)) {
        unusable_.push_back("do " + id + " " + std::string(words.size() > 2 ? words[2] : ""));
        return say(c, resp::array({id, "FAULT", "-", "unusable"}));
    }
    record("arrived", c.front, id);
    if (random_.chance(faults_.reset)) {
        record("connection_ended", c.front, id);
        return c.close();
    }
    if (random_.chance(faults_.shed) || line_.size() >= settings_.waiting) {
        record("shed", c.front, id);
        return say(c, resp::array({id, "SHED", "-", ""}));
    }
    auto run = std::make_shared<Run>();
    run->on = &c, run->id = id, run->front = c.front, run->sql = words[3], run->hints = *hints;
    c.open.emplace(id, run);
    line_.push_back(run);
    next();
}

void PlatformEngine::next() {
    while (running_ < settings_.at_once && !line_.empty()) {
        const auto run = line_.front();
        line_.pop_front();
        if (run->on)
            start(run);
    }
}

void PlatformEngine::start(const std::shared_ptr<Run>& run) {
    run->started = true, run->since = loop_.now();
    ++running_;
    record("started", run->front, run->id);
    const std::weak_ptr<char> here = alive_;
    loop_.after(static_cast<Micros>(run->hints.work_ms * kMillisecond), [this, run, here] {
        if (!here.expired() && run->on)
            answer(run);
    });
    note_later(run);
}

void PlatformEngine::note_later(const std::shared_ptr<Run>& run) {
    const std::weak_ptr<char> here = alive_;
    loop_.after(settings_.note_every, [this, run, here] {
        if (here.expired() || !run->on)
            return;
        const double done =
            static_cast<double>(loop_.now() - run->since) / (run->hints.work_ms * kMillisecond);
        say(*run->on,
            message(run->id, "INFO", "res=so_far,amount=" + std::to_string(std::min(done, 0.99)), ""));
        note_later(run);
    });
}

void PlatformEngine::answer(const std::shared_ptr<Run>& run) {
    Connection& c = *run->on;
    const std::string id = run->id;
    if (random_.chance(faults_.silent))
        return;
    c.open.erase(id);
    if (random_.chance(faults_.fault)) {
        end(*run, "fault");
        return say(c, resp::array({id, "FAULT", "-", "failed"}));
    }
    const auto pages = pages_of(rows_of(run->sql, run->hints.rows));
    const std::string fields =
        "chunks=" + std::to_string(pages.size()) + ",spent=" + std::to_string(run->hints.work_ms) +
        ",wanted=" + std::to_string(run->hints.mem_mb) +
        ",gauges=concurrent:" + std::to_string(running_ - 1) + ";depth:" + std::to_string(line_.size());
    const std::string hit = message(id, "HIT", fields, pages[0]);
    if (random_.chance(faults_.spoilt)) {
        // The machine has done the work and what it says of it can't be read, in one of several ways.
        end(*run, "connection_ended");
        switch (random_.below(5)) {
            case 0:
                say(c, random_.hex(40));
                break;
            case 1:
                say(c, "*4\r\n$16\r\n" + id + "\r\n$3\r\nHIT\r\n$3000000000\r\n" + std::string(3000, 'x'));
                break;
            case 2:
                say(c, hit.substr(0, 1 + random_.below(hit.size() - 1)));
                break;
            case 3:
                say(c, resp::array({id, "HIT", fields, "two\tcolumns\n"}));
                break;
            default:
                say(c, hit.substr(0, 1 + random_.below(hit.size() - 1)));
                return c.close();
        }
        c.dumb = true;
        return;
    }
    c.results[id] = pages;
    end(*run, "hit");
    if (random_.chance(faults_.doubled))
        say(c, resp::array({"ffffffffffffffff", "HIT", fields, pages[0]}) + hit);
    say(c, hit);
}

// Its request is out no more; what it ran stops.
void PlatformEngine::end(Run& run, const char* event) {
    if (!std::exchange(run.on, nullptr))
        return;
    record(event, run.front, run.id);
    if (run.started)
        --running_;
    next();
}

// ---- The name service

NameService::NameService(net::Loop& loop, Records& records, std::uint64_t seed)
    : loop_(loop), records_(records), random_(seed) {}

Result<net::Address> NameService::listen(const std::string& front, const net::Address& at) {
    auto socket = loop_.datagrams(at, [this, front](const net::Address& from, std::string_view bytes) {
        asked(front, from, bytes);
    });
    if (!socket)
        return Error{socket.error()};
    const auto address = (*socket)->address();
    sockets_[front] = std::move(*socket);
    return address;
}

void NameService::put(const Entry& entry) {
    before_ = entries_;
    entries_[entry.name] = entry;
    ++number_;
    if (entry.draining)
        tell_latest(entry.name, "fading");
}

void NameService::remove(const std::string& name) {
    before_ = entries_;
    entries_.erase(name);
    ++number_;
    tell_latest(name, "off");
}

void NameService::set(const NameFaults& faults) {
    // A pause between two silences that a front may pass over without a question joins them.
    constexpr Micros kPassedOver = 500 * kMillisecond;
    if (faults.silent && !faults_.silent && (silent_since_ == 0 || loop_.now() - silent_until_ > kPassedOver))
        silent_since_ = loop_.now();
    if (!faults.silent && faults_.silent)
        silent_until_ = loop_.now();
    if (!faults.deaf_ports)
        deaf_ports_.clear();
    else if (!faults_.deaf_ports)
        deaf_ports_ = ports_;
    faults_ = faults;
}

void NameService::tell_latest(const std::string& engine, const char* state) {
    if (!terms_)
        return;
    // A front asks within so long; what a good answer would have told then counts as told some time later.
    constexpr Micros kAsksWithin = 300 * kMillisecond;
    const Micros usually = kAsksWithin + terms_->usually;
    const std::weak_ptr<char> here = alive_;
    loop_.after(usually, [this, here, engine, state] {
        if (here.expired())
            return;
        const Micros now = loop_.now(), began = silent_since_;
        if (!faults_.silent)
            return record_latest_of(engine, state, now);
        // How long this silence lasts tells by which term it counts.
        loop_.after(std::max<Micros>(0, began + terms_->long_silence - now),
                    [this, here, engine, state, now, began] {
                        if (here.expired())
                            return;
                        const bool long_silence = faults_.silent && silent_since_ == began;
                        record_latest_of(engine, state,
                                         long_silence ? std::max(now, began + terms_->after_silence) : now);
                    });
    });
}

void NameService::record_latest_of(const std::string& engine, const char* state, Micros at) {
    for (const auto& [front, socket] : sockets_) {
        LabRecord r;
        r.at = at, r.event = "told_at_latest", r.who = front, r.detail = engine + "=" + state;
        records_.lab.push_back(std::move(r));
    }
}

std::string NameService::known(const std::string& front) const {
    nlohmann::json instances = nlohmann::json::array();
    for (const auto& [name, e] : entries_)
        if (const auto at = e.address.find(front); at != e.address.end())
            instances.push_back({{"instanceId", name},
                                 {"hostPort", at->second.text()},
                                 {"zone", e.zone},
                                 {"machineType", e.kind},
                                 {"cell", e.cell},
                                 {"lifecycle", e.draining ? "leaving" : "active"},
                                 {"weight", 1},
                                 {"startedAtMs", e.started_ms}});
    const nlohmann::json event = {
        {"offset", number_}, {"topology", {{"generation", 1}, {"reset", true}, {"instances", instances}}}};
    return nlohmann::json({{"offset", number_}, {"batch", {event}}}).dump();
}

std::string NameService::states(const std::string& front) const {
    return states_of(entries_, front);
}

std::string NameService::states_of(const std::map<std::string, Entry>& entries, const std::string& front) {
    std::string states;
    for (const auto& [name, e] : entries)
        if (e.address.contains(front))
            states += (states.empty() ? "" : ",") + name + (e.draining ? "=fading" : "=on");
    return states;
}

void NameService::asked(const std::string& front, const net::Address& from, std::string_view question) {
    ++questions_;
    const std::string asker = front + " " + from.text();
    ports_.insert(asker);
    if (question.size() < 17 || faults_.silent || deaf_ports_.contains(asker) || random_.chance(faults_.lost))
        return;
    if (faults_.dropped > 0) {
        --faults_.dropped;
        return;
    }
    const bool old = random_.chance(faults_.old);
    const auto& entries = old ? before_ : entries_;
    std::string services, around;
    std::uint64_t count = 0;
    const std::string states = states_of(entries, front);
    for (const auto& [name, e] : entries) {
        const auto at = e.address.find(front);
        if (at == e.address.end())
            continue;
        ++count;
        const std::string target = dns::encode_name(name + "." + e.zone + ".hosts");
        std::string srv;
        append_big_endian(srv, e.draining ? 1 : 0, 2), append_big_endian(srv, 10, 2),
            append_big_endian(srv, at->second.port, 2);
        services += record_of(std::string("\xc0\x0c", 2), 33, srv + target);
        std::string address;
        for (const auto part : split(at->second.host, '.'))
            append_big_endian(address, to_number<std::uint64_t>(part).value_or(0), 1);
        around += record_of(target, 1, address);
        std::string text;
        for (std::string t : {"kind=" + e.kind, "cell=" + std::to_string(e.cell),
                              "started=" + std::to_string(e.started_ms)}) {
            if (alter_text)
                t = alter_text(name, std::move(t));
            append_big_endian(text, t.size(), 1);
            text += t;
        }
        around += record_of(target, 16, text);
    }
    std::string soa = dns::encode_name("ns") + dns::encode_name("admin");
    append_big_endian(soa, old ? number_ - 1 : number_, 4);
    for (int i = 0; i < 4; ++i)
        append_big_endian(soa, 1, 4);
    const bool failure = random_.chance(faults_.failure), foreign = random_.chance(faults_.foreign);
    std::string m;
    append_big_endian(m, static_cast<unsigned char>(question[0]), 1);
    append_big_endian(m, static_cast<unsigned char>(question[1]) ^ (foreign ? 1u : 0u), 1);
    append_big_endian(m, failure ? 0x8402 : 0x8400, 2);
    for (const std::uint64_t n :
         {std::uint64_t{1}, failure ? 0 : count, std::uint64_t{1}, failure ? 0 : 2 * count})
        append_big_endian(m, n, 2);
    m.append(question.substr(12));
    if (!failure)
        m += services;
    m += record_of(std::string("\xc0\x0c", 2), 6, soa);
    if (!failure)
        m += around;
    const bool cut = random_.chance(faults_.cut);
    if (cut)
        m.resize(m.size() / 2);
    const bool whole = !failure && !foreign && !cut;
    // Of an older list a front may learn of an engine; that another has gone it knows by a newer one only.
    const char* const event = !whole ? "" : old ? "older_list_served" : "list_served";
    if (faults_.slow == 0)
        return say(front, from, m, event, states);
    const std::weak_ptr<char> here = alive_;
    loop_.after(faults_.slow, [this, here, front, from, m = std::move(m), event, states] {
        if (!here.expired())
            say(front, from, m, event, states);
    });
}

// `event`: what it is in the records; empty: an answer that doesn't count.
void NameService::say(const std::string& front, const net::Address& to, const std::string& message,
                      const std::string& event, const std::string& states) {
    const auto socket = sockets_.find(front);
    if (socket == sockets_.end())
        return;
    socket->second->send(to, message);
    if (event.empty())
        return;
    LabRecord r;
    r.at = loop_.now(), r.event = event, r.who = front, r.detail = states;
    records_.lab.push_back(std::move(r));
}

// ---- The client

PlatformClient::PlatformClient(net::Loop& loop, std::string front, const net::Address& to, Records& records)
    : loop_(loop), front_(std::move(front)), records_(records) {
    stream_ = loop.connect(to, *this, 5 * kSecondMicros);
}

PlatformClient::~PlatformClient() {
    for (const auto& [seq, o] : open_)
        loop_.cancel(o.patience);
}

void PlatformClient::record(const char* event, const Ask& a, std::string detail) {
    ClientRecord r;
    r.at = loop_.now(), r.event = event, r.trace = a.trace, r.front = front_;
    r.cls = a.cls, r.tenant = a.tenant, r.aim = a.aim, r.patience = a.patience, r.detail = std::move(detail);
    records_.clients.push_back(std::move(r));
}

std::int32_t PlatformClient::ask(const Ask& a) {
    const std::int32_t seq = ++last_;
    thrift::Fields fields{{"route", a.cls},
                          {"trace", a.trace},
                          {"patience", std::to_string(a.patience / kMillisecond)},
                          {"customer", a.tenant}};
    if (!a.nonce.empty())
        fields["nonce"] = a.nonce;
    if (a.weight_ms > 0)
        fields["weight"] = std::to_string(a.weight_ms);
    stream_->send(thrift::process_call(seq, fields, a.sql));
    record("asked", a);
    record("taken", a);  // once its last byte is written
    open_[seq] = {a, loop_.after(a.patience + a.grace, [this, seq] {
                      record("gave_up", open_.at(seq).ask);
                      open_.erase(seq);
                  })};
    return seq;
}

void PlatformClient::give_up(std::int32_t seq) {
    const auto found = open_.find(seq);
    if (found == open_.end())
        return;
    record("left", found->second.ask);
    loop_.cancel(found->second.patience);
    open_.erase(found);
    stream_->send(thrift::give_up_call(++last_, seq));
}

void PlatformClient::probe() {
    stream_->send(thrift::probe_call(++last_));
}

void PlatformClient::on_data(Buffer& in) {
    std::string_view frame;
    while (thrift::next_frame(in, 1 << 20, frame) == thrift::FrameStatus::complete) {
        take(frame);
        in.consume(thrift::kFrameHead + frame.size());
    }
}

void PlatformClient::on_closed(net::Closed) {
    ended_ = true;
    stream_.reset();
    for (const auto& [seq, o] : std::exchange(open_, {})) {
        loop_.cancel(o.patience);
        record("lost", o.ask);
    }
}

void PlatformClient::take(std::string_view frame) {
    thrift::Reader r(frame);
    const auto type = static_cast<thrift::MessageType>(r.i32() & 0xff);
    const std::string method(r.string());
    const std::int32_t seq = r.i32();
    Got got;
    if (type == thrift::MessageType::exception) {
        ++exceptions_;
        got.how = "failed";
    } else {
        std::int16_t id = 0;
        r.field(id);
        got.how = id == 0 ? "served" : id == 1 ? "refused" : "failed";
        std::int16_t inner = 0;
        for (auto t = r.field(inner); r.ok() && t != thrift::Type::stop; t = r.field(inner)) {
            if (t == thrift::Type::string)
                got.body = r.string();
            else
                r.skip(t);
        }
        if (method == "probe")
            ready_ = r.ok();
    }
    const auto found = open_.find(seq);
    if (found == open_.end())
        return;
    const Ask& a = found->second.ask;
    if (got.how == "served" && got.body != rows_of(a.sql, a.rows))
        record("wrong_rows", a, std::to_string(got.body.size()) + " bytes");
    record("final", a, got.how);
    loop_.cancel(found->second.patience);
    got_[seq] = std::move(got);
    open_.erase(found);
}

}  // namespace gatetiller::lab
