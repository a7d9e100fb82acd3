// The stand-in engine as a server of the statement API: the machine of model.hpp behind sockets, with faults
// on command and a journal of what it really did, which the rule checker reads.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "engine/model.hpp"
#include "http/server.hpp"
#include "statement/completed.hpp"
#include "statement/server.hpp"

namespace gatetiller::engine {

struct Faults {                // what is wrong with it at present
    double slow = 1;           // so many times slower
    bool hang = false;         // takes work and runs it, answers nothing
    bool silent = false;       // neither takes nor answers
    bool refuse = false;       // takes no connections
    bool crashed = false;      // all that it held is gone; up again once cleared, cold
    double fast_errors = 0;    // share of statements answered at once with an internal error
    double answer_lost = 0;    // share of statements of which the work runs and the answer never comes
    double reset_before = 0;   // share of POSTs whose connection breaks unread
    double busy = 0;           // share of POSTs answered 503
    double cut = 0;            // share of answers that break off in the middle
    double trickle = 0;        // answers leave so many bytes every 10 ms; 0: whole
    bool lost_resets = false;  // a poll for a lost answer breaks instead of waiting
    double report_late_s = 0;  // load reports are this old
    bool flush = false;        // at the moment it is set: nothing is warm any more
};

struct ServiceSettings {
    std::string name = "engine";
    net::Address listen;
    MachineSettings machine;
    std::size_t page_bytes = 1 << 20;  // rows of one document
    Micros long_poll = 400 * kMillisecond;
    Micros abandoned_after = 10 * kSecondMicros;
    bool reports = true;  // load reports in a header of every answer
    std::string journal;  // file; empty: none
    std::string events;   // file of query-completed events; empty: none
    std::uint64_t seed = 1;
};

// One thing that happened to an attempt, or to the engine itself.
struct Entry {
    Micros at = 0;
    std::string event;  // received, refused, repeat, started, spilled, finished, error, cancelled, abandoned,
                        // lost; up, down, fallen, drain
    std::string trace, id, front, user, source, tags;
    double work_us = 0, peak_mb = 0, spilled_mb = 0;
};

// The rows that a statement is answered with depend on its text alone, so that a wrong or doubled answer
// shows.
std::string row_of(std::string_view sql, std::size_t index);
// Hints in the statement's text tell the machine what it costs:
// /* gt: work_ms=120 threads=2 io=0.3 mem_mb=64 group=g7 rows=10 row_bytes=20 load=1 yields=1
// fail=SYNTAX_ERROR */
struct Hints {
    double work_ms = 5, threads = 1, io = 0.3, mem_mb = 16;
    std::size_t rows = 3, row_bytes = 16;
    bool load = false, yields = false;
    std::string group, fail;
};
Result<Hints> read_hints(std::string_view sql);

class Service final : public statement::Backend {
public:
    Service(net::Loop& loop, ServiceSettings settings, std::function<std::string()> entropy,
            std::function<void(const Entry&)> journal,
            std::function<void(const statement::Completed&)> completed = nullptr);
    ~Service() override;
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;

    Result<net::Address> start();
    void set(const Faults& faults);
    const Faults& faults() const {
        return faults_;
    }
    void drain() override;
    Machine& machine() {
        return *machine_;
    }
    std::size_t running() const {
        return running_.size();
    }

    std::optional<http::Response> submit(const std::string& id, statement::Submission submission) override;
    void on_cancelled(const std::string& id, statement::CancelReason reason) override;
    void on_rows_started(const std::string&) override {}
    void on_document_sent(const std::string& id) override;
    void on_final_document_sent(const std::string& id) override;
    statement::Stats progress(const std::string& id) override;
    std::string status_members() override;
    void decorate(http::Response& response) override;

private:
    struct Running;
    void handle(http::Request& request, http::Server::Reply reply);
    void fault_path(http::Request& request, http::Server::Reply& reply);
    void up();
    void down();
    void arm();
    void on_ended();
    void give_page(const std::string& id, Running& r);
    void fail(const std::string& id, const char* name, const std::string& message);
    void stop(const std::string& id, const char* event);
    void tell_completed(const Running& r, const std::string& id, const char* error);
    void note(const char* event, const Running* r, const std::string& id);
    std::string front_of(const http::Request& request) const;

    net::Loop& loop_;
    ServiceSettings settings_;
    std::function<std::string()> entropy_;
    std::function<void(const Entry&)> journal_;
    std::function<void(const statement::Completed&)> completed_;
    Faults faults_;
    Random random_;
    bool draining_ = false;
    std::string asking_;  // the front whose POST is being handled
    std::unique_ptr<Machine> machine_;
    std::unique_ptr<statement::ServerSide> statements_;
    std::unique_ptr<http::Server> server_;
    net::Address bound_;
    std::map<std::string, Running> running_;
    std::map<Machine::JobId, std::string> jobs_;
    std::map<Machine::JobId, std::pair<std::string, Running>> heedless_;  // called off, and still at work
    std::vector<http::Server::Reply> ignored_;
    std::deque<std::pair<Micros, LoadReport>> reports_;  // of the last while, where they are told late
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::engine
