// front: the running front. Statements come in from the statement API's server side; what happens becomes
// events of the module, and each action that the module returns is carried out exactly. It decides nothing by
// itself: what the module leaves open (classes, limits, what an engine's answer means) is asked of
// src/decide.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/policy_driver.hpp"
#include "decide/attempt_end.hpp"
#include "decide/attempt_guard.hpp"
#include "decide/client_time_left.hpp"
#include "decide/progress_reporter.hpp"
#include "decide/request_lifecycle.hpp"
#include "front/engines.hpp"
#include "front/metrics.hpp"
#include "store/ledger_writer.hpp"

namespace gatetiller::front {

struct Deps {
    std::function<std::string()> entropy;           // 32 hex digits that nobody can guess
    std::uint64_t seed = 1;                         // of the module
    std::function<void(const std::string&)> log;    // what an operator reads
    std::function<void(const Finished&)> finished;  // one call for each finished statement
    // For tests that break a front on purpose: true keeps an event from the module. Absent in service.
    std::function<bool(const Event&)> drop_event = nullptr;
    store::LedgerWriter* ledger = nullptr;  // not owned, outlives the front; none: nothing is kept
};

class Front final : public statement::Backend {
public:
    Front(net::Loop& loop, config::FrontSettings settings, Deps deps);
    ~Front() override;
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // Begins to listen. The addresses, with the ports that the kernel chose. Where it fails it may be called
    // again.
    Result<std::vector<net::Address>> start();
    // Takes nothing new, ends what it has; `done` once all is over, or the patience of the settings is.
    void drain(std::function<void()> done);
    // Engines, roster and routes of new settings; the rest needs a restart.
    void reload(const config::FrontSettings& settings);
    double alpha() const {
        return driver_.alpha();
    }
    std::size_t statements() const {
        return running_.size();
    }
    Engines& engines() {
        return engines_;
    }

    // The statement API asks these.
    std::optional<http::Response> submit(const std::string& id, statement::Submission submission) override;
    void left(const std::string& id, statement::Left how) override;
    void rows_going_out(const std::string& id) override;
    void room(const std::string& id) override;
    void final_given(const std::string& id) override;
    statement::Stats progress(const std::string& id) override;
    void drain() override {
        drain(nullptr);
    }
    std::string status_members() override;
    void decorate(http::Response&) override {}

private:
    struct Running;
    struct Attempt;

    void handle(http::Request& request, http::Server::Reply reply);
    bool dropped(const Event& event) const;  // as tests of broken fronts ask for
    void post(Event event);
    void engines_changed(const EndpointUpdate& change);
    bool may_begin(const Attempt& a);
    void carry_out(const Action& action);
    void send(const DispatchAttempt& action);
    std::optional<decide::Invariant> forbidden(const Attempt& a,
                                               bool is_out = false);  // is_out: it is the one that is out
    void answer_finally(Running& r, statement::Document document, Ended ended, Micros come_back);
    void complete(Attempt& a, AttemptOutcome outcome, bool finished);
    void on_document(Attempt& a, statement::Document document, const http::Headers& headers);
    void on_end(Attempt& a, const statement::CallEnd& end);
    void end_attempt(Attempt& a, decide::AttemptEnd how, statement::Document answer,
                     const http::Headers& headers);
    void ask_on(Attempt& a);
    void finish(Running& r);
    void free_later(const std::string& id);
    void finish_drain();
    void note_attempt(Attempt& a, decide::AttemptState state);
    void look_in_ledger();
    std::string ledger_member() const;
    Running* find(const std::string& id);

    net::Loop& loop_;
    config::FrontSettings settings_;
    Deps deps_;
    decide::Router router_;
    decide::StatementAdmission holding_;
    decide::Teams teams_;
    decide::Quota quota_;
    Metrics metrics_;
    core::PolicyDriver driver_;
    Engines engines_;
    statement::ServerSide statements_;
    http::Server server_;
    std::map<EngineId, Micros> draining_engines_;  // those that take nothing new, since this front was told
    std::unordered_map<std::string, std::unique_ptr<Running>> running_;
    std::vector<std::string> to_free_;
    std::vector<net::Address> bound_;  // of the addresses to listen on, as far as the start has come
    bool draining_ = false, drain_over_ = false;
    std::function<void()> drained_;
    bool before_known_ = false;  // how the life before ended, by the ledger
    net::TimerId drain_timer_ = 0, free_timer_ = 0, ledger_timer_ = 0;
};

}  // namespace gatetiller::front
