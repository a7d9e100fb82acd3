// The script of a day, in Jsonnet: what fronts, engines and clients there are, and what goes wrong when.
#pragma once

#include <nlohmann/json.hpp>

#include "base/result.hpp"
#include "lab/load.hpp"

namespace gatetiller::lab {

// Troubles bear the names of the operators' bench, so that one of its days can be replayed here; list_lies is
// this lab's own: the list calls engines gone that run, and no change of theirs reaches it. `part` is the
// share of engines (of fronts, for those of fronts) that it strikes; `size` and `extra` mean what they mean
// there.
struct Trouble {
    std::string name, how;
    Micros at = 0, length = 0;
    double part = 0, size = 0, extra = 0;
    std::vector<std::size_t>
        on;  // exactly these, counted from 0 in the order of their names; empty: drawn by part
};

struct EngineGroup {
    std::string name;
    int count = 1;
    std::string zone = "here", kind = "std";
    nlohmann::json machine = nlohmann::json::object();
};

struct Script {
    std::uint64_t seed = 1;
    Micros lead = kSecondMicros;                     // before the first arrival
    Micros length = 0, settle = 30 * kSecondMicros;  // after the last arrival, for what is still out
    int fronts = 1;
    nlohmann::json front =
        nlohmann::json::object();  // as in a front's configuration, without engines and listeners
    std::vector<EngineGroup> engines;
    Micros notice =
        500 * kMillisecond;  // until the list tells of a change, drawn between half and one and a half
    Traffic traffic;
    std::vector<Trouble> troubles;
    bool ledger =
        false;      // fronts keep ledgers, engines tell of completed queries, and both are settled after
    int kills = 0;  // so many times a front, drawn, is killed at a moment, drawn, and started again
};

Result<Script> load_script(const std::string& name, const std::string& text);
const std::vector<std::string>& trouble_names();

}  // namespace gatetiller::lab
