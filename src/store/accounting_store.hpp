// The accounts of many fronts: rows of their ledgers and the engines' journals, collected into one file of
// the ledger's form.
//
// Collecting is idempotent: the same ledger, a copy of it, or a journal given twice changes nothing, whatever
// the order; a row that says more replaces one that says less. Not for use by two threads at once.
#pragma once

#include <functional>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "decide/settlement.hpp"
#include "store/event_cursor.hpp"
#include "store/ledger.hpp"
#include "store/ledger_collector.hpp"

namespace gatetiller::store {

// A request with what the journals have of it, or one event that belongs to no known request.
struct AccountEntry {
    const RequestAccount* account = nullptr;  // none: events_by_attempt[0][0] is the event
    // By attempt, as in account->attempts.
    std::vector<std::vector<decide::LoggedQuery>> events_by_attempt;
    // Events of this request whose attempts the ledger lacks.
    std::vector<decide::LoggedQuery> unmatched_events;
};

class AccountingStore {
public:
    // Opens or creates the file (see Ledger::open). ":memory:" keeps it in memory.
    StoreFailure open(const std::string& file, bool read_only = false);

    // See LedgerCollector::collect().
    Result<CollectResult> collect_ledger(const std::string& file);
    // A journal: one query-completed event a line; `name` stands for it in `problems`. A last line without
    // its end is left out: its engine was killed while writing it, or is writing it.
    Result<CollectResult> collect_journal(const std::string& name, std::istream& lines);

    // Gives every request in the order of incarnations' names and numbers, and every event that belongs to
    // none; events that name no attempt come first. What can't be read is reported to `damaged`.
    StoreFailure for_each_entry(const std::function<void(const AccountEntry&)>& visit,
                                const DamageReporter& damaged);
    // What each incarnation's ledger says of its gaps, by the incarnation's name. One that was neither ended
    // nor marked as killed gets an open gap behind its last commit.
    StoreFailure incarnations(std::map<std::string, decide::IncarnationRecord>& to);
    Ledger& ledger() {
        return ledger_;
    }

private:
    using RecordsByRow = std::map<std::int64_t, decide::IncarnationRecord*>;

    StoreFailure read_gaps(const RecordsByRow& records);
    StoreFailure read_clock_slack(const RecordsByRow& records);
    StoreFailure put_event(Statement& put, const decide::LoggedQuery& event, bool& inserted);

    Ledger ledger_;
};

}  // namespace gatetiller::store
