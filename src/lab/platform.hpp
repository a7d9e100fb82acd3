// Stand-ins for what a front node talks to on the platform: an engine (RESP), a name service (DNS) and a
// client (Thrift), each on any loop, with faults on command. They record what really passed on their sockets
// in the words of records.hpp, so that the checker of the rules reads a front node's day as it reads any
// other.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/random.hpp"
#include "lab/records.hpp"
#include "net/loop.hpp"
#include "thrift/service.hpp"

namespace gatetiller::lab {

struct PlatformFaults {
    double shed = 0;       // share of requests answered SHED
    double fault = 0;      // FAULT, after the work
    double spoilt = 0;     // of answers replaced by what can't be read; the connection says nothing more
    double reset = 0;      // of requests on which the connection ends under them
    double silent = 0;     // of answers that never come
    double doubled = 0;    // of answers sent twice, with one under an unknown id ahead
    double lost_page = 0;  // of further pages answered FAULT
};

struct PlatformEngineSettings {
    std::string name;
    std::size_t at_once = 8, waiting = 64;  // that run, and that wait in turn; more are shed
    Micros note_every = 100 * kMillisecond;
    std::uint64_t seed = 1;
};

// Runs what it is sent for as long as the statement's hints say (engine/service.hpp), one after another past
// its room, and answers in pages. One listener for each front, so that it knows who asks.
class PlatformEngine {
public:
    PlatformEngine(net::Loop& loop, PlatformEngineSettings settings, Records& records);
    ~PlatformEngine();
    Result<net::Address> listen(const std::string& front, const net::Address& at);
    void set(const PlatformFaults& faults) {
        faults_ = faults;
    }
    // Its process ends: connections break, listeners close, nothing of it is left.
    void die();
    const std::string& name() const {
        return settings_.name;
    }
    std::size_t open() const;  // requests out by its sockets
    const std::vector<std::string>& unusable() const {
        return unusable_;
    }                                   // requests no front may send
    std::vector<std::string> commands;  // other than `do`, as they came: "undo ID", "bump ID 2"
    // Returns the fields to send in place of those of a message of this kind (HIT, PART, INFO). May be
    // absent.
    std::function<std::string(std::string_view kind, std::string fields)> alter_fields;

private:
    struct Connection;
    struct Run;
    void take(Connection& c, const std::vector<std::string_view>& words);
    void start(const std::shared_ptr<Run>& run);
    void note_later(const std::shared_ptr<Run>& run);
    void answer(const std::shared_ptr<Run>& run);
    void end(Run& run, const char* event);
    void next();
    void record(const std::string& event, const std::string& front, const std::string& id);
    void say(Connection& c, std::string bytes);
    std::string message(const std::string& id, std::string_view kind, std::string fields,
                        std::string_view body) const;

    net::Loop& loop_;
    PlatformEngineSettings settings_;
    Records& records_;
    PlatformFaults faults_;
    Random random_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::deque<std::shared_ptr<Run>> line_;
    std::size_t running_ = 0;
    std::vector<std::string> unusable_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

// The rows that an engine answers a statement with, as text.
std::string rows_of(std::string_view sql, std::size_t rows);

struct NameFaults {
    double lost = 0, failure = 0, cut = 0, foreign = 0, old = 0;  // shares of answers
    bool silent = false;
    Micros slow = 0;  // every answer takes so long
    int dropped = 0;  // so many answers, the next ones, never arrive
    bool deaf_ports =
        false;  // ports that have asked before this was set are not answered any more; new ones are
};

// When at the latest a change of the list counts as told, whatever became of the answers (the platform's
// protocol).
struct NameTerms {
    Micros usually =
        1'500 * kMillisecond;  // after the first question that a good answer would have told of it
    Micros after_silence = 4'500 * kMillisecond;  // after a silence began, where that is later
    Micros long_silence = 3 * kSecondMicros;      // a shorter one changes nothing
};

class NameService {
public:
    struct Entry {
        std::string name, zone, kind;
        std::map<std::string, net::Address> address;  // by front
        bool draining = false;
        std::int64_t cell = 0, started_ms = 0;
    };
    NameService(net::Loop& loop, Records& records, std::uint64_t seed);
    Result<net::Address> listen(const std::string& front, const net::Address& at);
    void close(const std::string& front) {
        sockets_.erase(front);
    }
    void put(const Entry& entry);  // new or changed: one event
    void remove(const std::string& name);
    void set(const NameFaults& faults);
    // From now on each drain and each removal is also recorded ("told_at_latest") when it counts as told at
    // the latest.
    void record_latest(const NameTerms& terms) {
        terms_ = terms;
    }
    // The numbering starts anew, with the list as it stands as number 1.
    void renumber() {
        number_ = 1;
    }
    std::uint64_t number() const {
        return number_;
    }
    std::uint64_t questions() const {
        return questions_;
    }
    // Returns the TXT string to send in place of `text` in the record of the engine `name`. May be absent.
    std::function<std::string(const std::string& name, std::string text)> alter_text;
    std::string known(const std::string& front) const;   // the configuration's member of that name, as JSON
    std::string states(const std::string& front) const;  // "name=on,name=fading", as records have them

private:
    static std::string states_of(const std::map<std::string, Entry>& entries, const std::string& front);
    void asked(const std::string& front, const net::Address& from, std::string_view question);
    void say(const std::string& front, const net::Address& to, const std::string& message,
             const std::string& event, const std::string& states);
    void tell_latest(const std::string& engine, const char* state);
    void record_latest_of(const std::string& engine, const char* state, Micros at);

    net::Loop& loop_;
    Records& records_;
    Random random_;
    NameFaults faults_;
    std::map<std::string, std::unique_ptr<net::Datagrams>> sockets_;
    std::map<std::string, Entry> entries_, before_;  // before_: one event ago
    std::uint64_t number_ = 0, questions_ = 0;
    std::optional<NameTerms> terms_;
    Micros silent_since_ = 0, silent_until_ = 0;
    std::set<std::string> ports_, deaf_ports_;  // that have asked; of those, the ones that are not answered
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

class PlatformClient final : net::StreamEvents {
public:
    struct Ask {
        std::string trace, cls, tenant, sql, nonce;
        Micros patience = 0, aim = 0;
        Micros grace = 70 * kMillisecond;  // an answer so long after is still in time, by the rules
        std::size_t rows = 0;              // that a served answer must have
        int weight_ms = 0;                 // the estimate of the work that goes along; 0: none
    };
    struct Got {
        std::string how;  // served, refused, failed
        std::string body;
    };
    PlatformClient(net::Loop& loop, std::string front, const net::Address& to, Records& records);
    ~PlatformClient() override;
    std::int32_t ask(const Ask& a);  // its number
    void give_up(std::int32_t seq);  // giveUp, by the client's own wish
    void probe();
    void raw(std::string bytes) {
        stream_->send(std::move(bytes));
    }
    std::size_t open() const {
        return open_.size();
    }
    bool ended() const {
        return ended_;
    }
    bool ready() const {
        return ready_;
    }  // a probe was answered
    const std::map<std::int32_t, Got>& got() const {
        return got_;
    }
    std::size_t exceptions() const {
        return exceptions_;
    }

private:
    struct Open {
        Ask ask;
        net::TimerId patience = 0;
    };
    void on_data(Buffer& in) override;
    void on_closed(net::Closed) override;
    void take(std::string_view frame);
    void record(const char* event, const Ask& a, std::string detail = "");

    net::Loop& loop_;
    std::string front_;
    Records& records_;
    std::unique_ptr<net::Stream> stream_;
    std::map<std::int32_t, Open> open_;
    std::map<std::int32_t, Got> got_;
    std::int32_t last_ = 0;
    std::size_t exceptions_ = 0;
    bool ended_ = false, ready_ = false;
};

}  // namespace gatetiller::lab
