// A front: connects the server side of the statement API, the policy and the engines. It converts requests,
// responses and endpoint updates into events for the policy, and executes each action of the policy exactly.
// It makes no decisions itself: classes, limits and the meaning of an engine's response are defined in
// src/decide.
//
// Components, the state that each owns, and its task:
//   StatementIntake      routes, budgets, counts by user    accepts or rejects statements
//   ActiveStatements     accepted statements, attempts      stores them until their release
//   AttemptDispatcher    -                                  executes actions of the policy on attempts
//   EngineResponses      -                                  handles the engines' responses
//   StatementCompletion  -                                  ends statements
//   EngineRegistry       engines and their states           follows the endpoint list, polls engine statuses
//   DrainingEndpoints    draining and removed endpoints     stores since when they receive no new attempts
//   LedgerRecorder       flush timer                        writes rows to the ledger
//   GracefulShutdown     progress of the shutdown           waits for active statements
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
    std::function<std::string()> entropy;         // returns 32 unpredictable hexadecimal digits
    std::uint64_t seed = 1;                       // of the policy's random numbers
    std::function<void(const std::string&)> log;  // writes a line to the operator log
    // Called once for each finished statement. May be empty.
    std::function<void(const FinishedStatement&)> on_finished;
    // Fault injection in tests: an event for which it returns true is not passed to the policy. Null in
    // production.
    std::function<bool(const Event&)> drop_event = nullptr;
    store::LedgerWriter* ledger = nullptr;  // outlives the front; null: no ledger
};

class Front final : public statement::Backend {
public:
    // The loop outlives the front. Throws std::invalid_argument if the policy settings are contradictory.
    Front(net::Loop& loop, config::FrontSettings settings, FrontDeps deps);
    ~Front() override;
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // Starts listening and returns the bound addresses, including ports chosen by the kernel. May be called
    // again after a failure.
    Result<std::vector<net::Address>> start();
    // Starts the graceful shutdown. `done` is called when it has finished.
    void drain(std::function<void()> done);
    // Applies the engines, endpoint source and routes of new settings; all other settings need a restart.
    void reload(const config::FrontSettings& settings);
    // Fraction of free slots that the policy offers to latency-sensitive requests first, in [0.05, 0.95].
    double sensitive_share() const {
        return driver_.sensitive_share();
    }
    // Number of active statements.
    std::size_t statements() const {
        return statements_.size();
    }
    EngineRegistry& engines() {
        return engines_;
    }

    // statement::Backend
    std::optional<http::Response> submit(const std::string& id, statement::Submission submission) override;
    void on_cancelled(const std::string& id, statement::CancelReason reason) override;
    void on_rows_started(const std::string& id) override;
    void on_document_sent(const std::string& id) override;
    void on_final_document_sent(const std::string& id) override;
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
    ActiveStatements statements_;  // destroyed before the engine connections that its attempts use
    FrontServices services_;
    AttemptDispatcher dispatcher_;
    EngineResponses responses_;
    StatementCompletion completion_;
    GracefulShutdown shutdown_;
    std::vector<net::Address> bound_addresses_;  // addresses that start() has bound so far
};

}  // namespace gatetiller::front
