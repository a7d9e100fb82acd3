// Settling accounts: what fronts wrote down of an attempt against what the engine logged of it. Every attempt
// and every logged query comes to one finding, with the work to be charged and where that figure is from.
#pragma once

#include <array>
#include <vector>

#include "decide/account.hpp"
#include "decide/ledger_state.hpp"

namespace gatetiller::decide {

// One query as an engine's journal has it.
struct LoggedQuery {
    std::optional<AttemptTag>
        attempt_tag;  // from its tag; none: it did not come through a front with a ledger
    std::string engine, id, user, source, tags, error;
    Micros created = 0, ended = 0;  // by the engine's clock
    Micros work = 0;
    std::int64_t peak_bytes = 0, spilled_bytes = 0, row_bytes = 0;
};

enum class SettlementFinding : std::uint8_t {
    agreed,               // both sides have its end, with the same figures
    end_not_observed,     // the front stopped looking before the engine was done: the engine's figures count
    never_ran,            // the front knows that it never ran, and no journal has it
    unlogged,             // it was out when connection, engine or front was lost; no journal has it
    in_gap,               // logged, and missing from the ledger, which states a gap there
    unknown_incarnation,  // logged under the name of a front's life of which no ledger was given
    direct,               // logged, and not sent through a front that keeps a ledger
    ended_later,  // the engine logged an end after the last document that the front had of it: its figures
                  // count
    // What should not be. Each is a fault of a journal, of a ledger or of this program.
    mismatched,          // both sides have its end, with different figures
    missing_in_journal,  // the front saw its end, and no journal has it
    missing_in_ledger,   // logged, and missing from a ledger that states no gap there
    unexpected_work,     // the front took it for never run, and the engine logged work
};
constexpr int kFindings = 12;
const char* name_of(SettlementFinding finding);
bool is_explained(SettlementFinding finding);

struct Settlement {
    SettlementFinding finding = SettlementFinding::agreed;
    WastedWork waste = WastedWork::none;
    Micros work = 0;  // to be charged
    std::int64_t peak_bytes = 0, spilled_bytes = 0;
    Micros observed_work = 0;  // of the work, as the front had it
    bool logged = false;
    // Of the work, what was done when the client had left already: the part of the run's time that lay behind
    // the leaving, as if it worked evenly, and never more than the front had not seen before.
    Micros work_after_disconnect = 0;
};

// An attempt of the ledger, with what journals have of it (none, mostly one; more where an engine logged
// twice).
Settlement settle(const RequestRow& request, const AttemptRow& attempt,
                  const std::vector<LoggedQuery>& logged);

// What a ledger says of its own wholeness, for queries that it lacks.
struct IncarnationRecord {
    std::vector<LedgerGap> gaps;
    Micros clock_slack = 0;  // between an engine's clock and the front's, and for its steps
};
// A logged query that no ledger row answers to. `incarnation`: null where no ledger of that life was given.
Settlement settle_unmatched(const LoggedQuery& logged, const IncarnationRecord* incarnation);

// Repeats: requests of one tenant and class with the same key, within the window of the first of them.
// Add all, in any order; then finish; then ask.
class RepeatDetector {
public:
    void add(const RequestRow& request, std::uint32_t incarnation);
    void finish();
    bool is_repeat(std::uint32_t incarnation, std::uint32_t number) const;

private:
    struct Keyed {
        std::uint64_t key = 0;
        Micros received_at = 0, window = 0;
        std::uint64_t request = 0;
    };
    std::vector<Keyed> keyed_;
    std::vector<std::uint64_t> repeats_;  // sorted
};

}  // namespace gatetiller::decide
