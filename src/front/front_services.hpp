// Objects shared by the components of a front. The front owns each of them and outlives its components.
#pragma once

#include <functional>
#include <string>

#include "front/active_statement.hpp"
#include "front/draining_endpoints.hpp"
#include "front/engine_registry.hpp"
#include "front/ledger_recorder.hpp"
#include "front/metrics.hpp"
#include "front/statement_intake.hpp"

namespace gatetiller::front {

struct FrontServices {
    net::Loop& loop;
    const config::FrontSettings& settings;
    Metrics& metrics;
    EngineRegistry& engines;
    DrainingEndpoints& draining_endpoints;
    StatementIntake& intake;
    LedgerRecorder& ledger;
    statement::ServerSide& statement_api;
    ActiveStatements& statements;
    std::function<void(Event)> post_event;  // passes the event to the policy
    std::function<void(const std::string&)> log;
};

}  // namespace gatetiller::front
