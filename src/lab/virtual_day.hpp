// A day of fronts with ledgers, stand-in engines and clients on one loop in virtual time: fronts are killed
// at drawn moments with what their ledgers had not yet written, engines fail by turns, clients leave.
// Afterwards the seven rules are judged from what passed on the connections, and every logged query is
// settled. The same seed is the same day, to the byte of the report.
#pragma once

#include <string>

#include "lab/checker.hpp"

namespace gatetiller::lab {

struct VirtualDayOptions {
    std::uint64_t seed = 1;
    std::int64_t requests = 20'000;
    double rate = 300;  // a second
    int fronts = 2, engines = 6, kills = 20;
    bool faults = true;
    bool clock_steps = true;  // the wall clock steps back by a drawn span, twice
    std::string folder;       // for the ledgers; emptied of earlier ones
};

struct VirtualDayResult {
    Judgement judgement;
    std::string report;    // JSON
    std::string findings;  // for people
    std::size_t asked = 0, killed = 0;
    std::uint64_t events = 0;
    double virtual_seconds = 0;
    std::size_t gaps = 0;            // stated, one for each kill
    Micros longest_gap = 0;          // with the time that the next life took to come up
    Micros logged = 0, charged = 0;  // work in the journals, and what of it the report has
    bool explained = false;
};

Result<VirtualDayResult> run_virtual_day(const VirtualDayOptions& options);

}  // namespace gatetiller::lab
