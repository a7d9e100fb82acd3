// config: Jsonnet templates to settings. `import 'gatetiller.libsonnet'` finds the library built into the
// program. Every mistake is told with file, line and what would be right. This file: what a front's
// configuration comes to.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/quota.hpp"
#include "decide/routing.hpp"
#include "decide/statement_admission.hpp"
#include "decide/teams.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "net/loop.hpp"
#include "policy/gateway_policy.hpp"
#include "statement/engine_call.hpp"
#include "statement/server.hpp"

namespace gatetiller::config {

struct EngineSettings {
    std::string name;
    net::Address address;
    EndpointState state = EndpointState::ready;
    std::string zone, kind;
    std::int64_t cell = 0;
    double share = 1;
};

struct RosterSettings {
    std::string file{};                  // watched; empty: none
    std::optional<net::Address> http{};  // a list polled there; absent: none
    std::string path{};
    std::string keep{};  // file for the last list, for the next start; empty: not kept
    Micros every = kSecondMicros;
    Micros watch_every = kSecondMicros;  // how often each engine is asked for its state; 0: never
};

struct LogSettings {
    std::string level = "info";
    std::string format = "text";
};

struct LedgerSettings {
    std::string file{};                       // empty: no ledger is kept
    Micros flush_every = 100 * kMillisecond;  // what a killed front may lose, with the commit's time
    Micros keep = 0;                          // closed requests are removed after so long; 0: never
    std::size_t waiting = 200'000;            // rows that may wait for a slow or broken disk
};

struct BudgetSettings {
    decide::QuotaSettings quota{};
    std::string over{};  // the tenant that statements over a soft budget count as
    std::vector<decide::Budget> budgets{};
    std::vector<decide::TeamRule> rules{};
};

struct FrontSettings {
    std::string name = "front";
    std::vector<net::Address> listen;
    std::optional<std::uint64_t> seed;  // absent: drawn at the start
    PolicySettings module;
    std::vector<decide::Route> routes;
    std::vector<EngineSettings> engines;
    RosterSettings roster;
    decide::StatementLimits holding;
    http::ServerOptions server;
    statement::ServerSideOptions statements;
    http::ClientOptions client;
    statement::EngineCallOptions calls;
    Micros answer_reserve = 50 * kMillisecond;   // of a client's time, for the final answer's way
    Micros drain_patience = 30 * kSecondMicros;  // after SIGTERM
    std::string records;  // file to which every message on the sockets is recorded; empty: none
    LogSettings log;
    LedgerSettings ledger;
    BudgetSettings budgets;
};

class Reader;
void read_when_short(
    Reader& reader,
    MemoryShortagePolicy& to);  // the key when_short, of fronts and of stand-in engines alike

struct Loaded {
    FrontSettings front;
    std::string json;  // what the templates came to
};

// Reads and checks a front's configuration. An Error holds one line for each mistake: "file:line: path:
// what".
Result<Loaded> load_front(const std::string& file);
// The same of a template that is at hand as text; `name` stands for the file in messages.
Result<Loaded> load_front_text(const std::string& name, const std::string& text);
// Evaluates any template of the project to JSON text, with the built-in library at hand.
Result<std::string> evaluate(const std::string& name, const std::string& text);
Result<std::string> whole_file(const std::string& file);
// Engines as a watched file or an HTTP list have them: {"engines": {NAME: {address, zone, kind, ...}}}. JSON.
Result<std::vector<EngineSettings>> read_engine_list(const std::string& json, const std::string& origin);

}  // namespace gatetiller::config
