// Settlement: compares what fronts recorded about an attempt with what the engine logged. Every attempt and
// every logged query gets one finding, and the work to charge from the source that the finding selects.
#pragma once

#include <array>
#include <vector>

#include "decide/account.hpp"
#include "decide/ledger_state.hpp"

namespace gatetiller::decide {

// One query in an engine's journal.
struct LoggedQuery {
    // Nothing where the query has no attempt tag: it was not sent through a front with a ledger.
    std::optional<AttemptTag> attempt_tag;
    std::string engine, id, user, source, tags, error;
    // The engine's wall clock, microseconds since 1970.
    Micros created = 0, ended = 0;
    // Core time in microseconds.
    Micros work = 0;
    std::int64_t peak_bytes = 0, spilled_bytes = 0, row_bytes = 0;
};

enum class SettlementFinding : std::uint8_t {
    // Ledger and journal have the end, with the same statistics.
    agreed,
    // The front stopped observing before the engine finished: the engine's statistics are charged.
    end_not_observed,
    // The front has proof that it was not executed, and the journal has no work for it.
    never_ran,
    // It was in flight when the connection, the engine or the front was lost, and no journal contains it.
    unlogged,
    // Logged, and not in the ledger, which has a gap at that time.
    in_gap,
    // Logged with the tag of an incarnation whose ledger was not supplied.
    unknown_incarnation,
    // Logged, and not sent through a front with a ledger.
    direct,
    // The engine logged an end after the last document that the front received: the engine's statistics are
    // charged.
    ended_later,
    // The findings from here on are not explained: each shows a fault of a journal, of a ledger or of this
    // program. Ledger and journal have the end, with different statistics.
    mismatched,
    // The front received the last document, and no journal contains the query.
    missing_in_journal,
    // Logged, and not in the ledger, which has no gap at that time.
    missing_in_ledger,
    // The front has it as not executed, and the engine logged work.
    unexpected_work,
};
// Number of values of SettlementFinding.
constexpr int kFindings = 12;
// The finding's name in reports.
const char* name_of(SettlementFinding finding);
// Whether the finding is possible without a fault of a journal, of a ledger or of this program.
bool is_explained(SettlementFinding finding);

struct Settlement {
    SettlementFinding finding = SettlementFinding::agreed;
    WastedWork waste = WastedWork::none;
    // Core time to charge, in microseconds.
    Micros work = 0;
    std::int64_t peak_bytes = 0, spilled_bytes = 0;
    // Core time as the front recorded it.
    Micros observed_work = 0;
    // Some journal contains it.
    bool logged = false;
    // The part of `work` that was done after the client had disconnected: the work is assumed to be spread
    // evenly over the run, and the part is at most what exceeds `observed_work`.
    Micros work_after_disconnect = 0;
};

// Settles an attempt in a ledger with the queries that journals have for it: none, usually one, more where an
// engine logged it repeatedly.
Settlement settle(const RequestRow& request, const AttemptRow& attempt,
                  const std::vector<LoggedQuery>& logged);

// How complete the ledger of one incarnation is.
struct IncarnationRecord {
    std::vector<LedgerGap> gaps;
    // Microseconds by which a gap is extended in both directions, for steps of the clocks and for the
    // difference between the engine's clock and the front's.
    Micros clock_slack = 0;
};
// Settles a logged query without a ledger row. `incarnation`: null where its ledger was not supplied.
Settlement settle_unmatched(const LoggedQuery& logged, const IncarnationRecord* incarnation);

// Detects repeats: requests of one tenant and class that have the same idempotency key and arrived within the
// key window of the first of them. Usage: add() all requests in any order, then finish(), then is_repeat().
class RepeatDetector {
public:
    // `incarnation`: a number that is the same for all requests of one incarnation.
    void add(const RequestRow& request, std::uint32_t incarnation);
    void finish();
    bool is_repeat(std::uint32_t incarnation, std::uint32_t number) const;

private:
    struct Keyed {
        // Hash of key, tenant and class.
        std::uint64_t key = 0;
        Micros received_at = 0, window = 0;
        // Incarnation in the upper and the request's number in the lower 32 bits.
        std::uint64_t request = 0;
    };
    std::vector<Keyed> keyed_;
    // As Keyed::request, sorted.
    std::vector<std::uint64_t> repeats_;
};

}  // namespace gatetiller::decide
