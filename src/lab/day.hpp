// A scripted day: fronts and engines as processes, clients in this one, troubles at their times, and then the
// checker over all that was recorded.
#pragma once

#include "lab/checker.hpp"
#include "lab/script.hpp"

namespace gatetiller::lab {

struct DayOptions {
    std::string program;  // the path of gatetiller
    std::string folder;   // for configurations, logs and records
    bool quiet = false;
};

struct DayResult {
    Judgement judgement;
    std::map<std::string, std::size_t> outcomes;
    std::size_t asked = 0;
    std::vector<double> latencies_ms;
    double seconds = 0;
    std::string settlement;  // findings of the settlement; empty: no ledgers were kept
    bool settled = true;     // every difference is explained, and reporting twice gave the same text
};

Result<DayResult> run_day(const Script& script, const DayOptions& options);
std::string report_of(const DayResult& result);  // for people
// Reads a folder's records, or single files.
Result<Records> load_records(const std::vector<std::string>& paths);
std::string report_of(const Judgement& judgement);

}  // namespace gatetiller::lab
