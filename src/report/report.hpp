// The report of one period: the books' rows, settled, with the teams and prices agreed on, in lines that add
// up; with all that is not sure about it: findings, gaps, steps of the clock, what could not be read.
#pragma once

#include <nlohmann/json.hpp>

#include "decide/charge.hpp"
#include "report/calendar.hpp"
#include "report/settlement.hpp"
#include "store/accounting_store.hpp"

namespace gatetiller::report {

struct Oddity {  // a query with a finding that is asked for
    decide::SettlementFinding finding;
    std::string where, engine, id;  // where: the front's life, request and attempt
    Micros at = 0, work = 0, seen = 0;
};

struct Report {
    Calendar calendar;
    std::string currency;
    int decimals = 2;
    std::map<decide::ChargeLineKey, decide::ChargeLine> lines;
    std::array<decide::FindingTotal, decide::kFindings> findings{};
    std::vector<Oddity> oddities;  // bounded; findings has the whole count
    std::vector<std::pair<std::string, decide::LedgerGap>>
        gaps;  // with the front's name; those that touch the period
    std::vector<std::pair<Micros, Micros>> clock_steps;
    std::vector<std::string> troubles;
    std::map<std::string, std::string> team_names;  // by id, as they are called at the period's end
    std::map<std::string, std::vector<std::string>> formerly;
    std::vector<std::pair<std::string, Micros>> unended;  // fronts with no end on record; written until
};

struct Ask {
    std::vector<decide::SettlementFinding>
        list;  // findings whose queries go into oddities, with those unexplained
    std::size_t most = 1000;
};
Result<Report> make_report(store::AccountingStore& books, const Settlement& settlement, Calendar calendar,
                           const Ask& ask);

// The whole report as JSON, amounts exact, the same text for the same books and settlement.
nlohmann::ordered_json to_json(const Report& report);

// What of a line a table is grouped by: "team", "class", "day", "kind".
Result<std::vector<std::string>> read_columns(const std::string& commas);
std::string to_table(const Report& report, const std::vector<std::string>& by);
std::string to_csv(const Report& report, const std::vector<std::string>& by);
std::string to_html(const Report& report, const std::vector<std::string>& by);
std::string findings_text(const Report& report);
bool all_explained(const Report& report);

// What differs between two reports of the same period, by line; empty: nothing.
std::string difference(const nlohmann::ordered_json& before, const nlohmann::ordered_json& after);

// Versions of a period's report are kept with the books. One that says the same as the last is not a new one.
struct Version {
    std::int64_t number = 0;
    Micros made = 0;
    std::string text;
};
Result<std::vector<Version>> versions(store::AccountingStore& books, const std::string& period);
struct Kept {
    std::int64_t number = 0;
    bool fresh = false;
    std::string difference;  // to the version before
};
Result<Kept> keep_version(store::AccountingStore& books, const Report& report, Micros wall);
std::string period_of(const Calendar& calendar);

}  // namespace gatetiller::report
