// A running front: wires the statement API's server side, the policy and the engines together. What happens
// becomes events of the policy, and each action of the policy is carried out exactly. A front decides nothing
// by itself: classes, limits and the meaning of an engine's answer come from src/decide.
//
// Its parts, with the state that each owns:
//   StatementIntake      routes, budgets, counts by user    accepts or rejects a statement
//   ActiveStatements     accepted statements, attempts      until their release
//   AttemptDispatcher    -                                  actions of the policy on attempts
//   EngineResponses      -                                  engines' answers
//   StatementCompletion  -                                  ends of statements
//   EngineRegistry       engines and their states           endpoint list, status polls
//   DrainingEndpoints    endpoints that accept nothing new
//   LedgerRecorder       flush timer                        rows for the ledger
//   GracefulShutdown     its progress
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/policy_driver.hpp"
#include "front/attempt_dispatcher.hpp"
#include "front/engine_responses.hpp"
#include "front/front_services.hpp"
#include "front/graceful_shutdown.hpp"
#include "front/statement_completion.hpp"

namespace gatetiller::front {

struct FrontDeps {
    std::function<std::string()> entropy;         // 32 hex digits that nobody can guess
    std::uint64_t seed = 1;                       // of the policy
    std::function<void(const std::string&)> log;  // for operators
    std::function<void(const FinishedStatement&)>
        on_finished;  // once for each finished statement; may be empty
    // Fault injection by tests: true keeps an event from the policy. Absent in service.
    std::function<bool(const Event&)> drop_event = nullptr;
    store::LedgerWriter* ledger = nullptr;  // outlives the front; null: nothing is recorded
};

class Front final : public statement::Backend {
public:
    // The loop outlives the front. Contradictory policy settings throw std::invalid_argument.
    Front(net::Loop& loop, config::FrontSettings settings, FrontDeps deps);
    ~Front() override;
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // Begins to listen and gives the addresses, with the ports that the kernel chose. After a failure it may
    // be called again.
    Result<std::vector<net::Address>> start();
    // Begins the graceful shutdown; `done` is called at its end.
    void drain(std::function<void()> done);
    // Takes over engines, endpoint source and routes of new settings; the rest needs a restart.
    void reload(const config::FrontSettings& settings);
    // Share of free slots that the policy offers to latency-sensitive requests first, in [0.05, 0.95].
    double alpha() const {
        return driver_.alpha();
    }
    // Active ones.
    std::size_t statements() const {
        return statements_.size();
    }
    EngineRegistry& engines() {
        return engines_;
    }

    // statement::Backend
    std::optional<http::Response> submit(const std::string& id, statement::Submission submission) override;
    void left(const std::string& id, statement::Left reason) override;
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
    void on_http_request(http::Request& request, http::Server::Reply reply);
    http::Response metrics_page();
    http::Response reject(const Rejection& rejection);
    RequestArrived accept(const std::string& id, statement::Submission submission,
                          AcceptedStatement accepted);
    bool is_dropped(const Event& event) const;
    void post_event(Event event);
    void on_endpoint_update(const EndpointUpdate& update);
    void apply_action(const Action& action);
    void apply_grant(const ResourceGrant& grant);
    void check_health(const CheckHealth& action);

    net::Loop& loop_;
    config::FrontSettings settings_;
    FrontDeps deps_;
    Metrics metrics_;
    StatementIntake intake_;
    core::PolicyDriver driver_;
    EngineRegistry engines_;
    DrainingEndpoints draining_endpoints_;
    LedgerRecorder ledger_;
    statement::ServerSide statement_api_;
    http::Server server_;
    ActiveStatements statements_;  // destroyed before the connections that its attempts use
    FrontServices services_;
    AttemptDispatcher dispatcher_;
    EngineResponses responses_;
    StatementCompletion completion_;
    GracefulShutdown shutdown_;
    std::vector<net::Address> bound_addresses_;  // as far as start() has come
};

}  // namespace gatetiller::front
