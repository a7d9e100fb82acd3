// What was agreed for the settlement, in Jsonnet: the time zone, the teams with their names and rules by
// date, and the prices by date and kind of engine. See docs/operators/charge-back.md.
#pragma once

#include "decide/money.hpp"
#include "decide/teams.hpp"

namespace gatetiller::report {

struct Settlement {
    std::string zone = "UTC", currency = "units";
    int decimals = 2;
    Micros clock_slack = 5 * kSecondMicros;  // by which engines' clocks may differ from fronts', for gaps
    std::map<std::string, std::vector<decide::TeamName>> teams;
    std::vector<decide::TeamRule> rules;
    std::vector<decide::Price> prices;
};

Result<Settlement> load_settlement(const std::string& file);
Result<Settlement> load_settlement_text(const std::string& name, const std::string& text);

}  // namespace gatetiller::report
