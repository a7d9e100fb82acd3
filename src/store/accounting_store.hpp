// Collects the ledgers of many fronts and the journals of the engines into one file with the ledger's schema.
//
// Collecting is idempotent and independent of order: collecting a ledger, a copy of it or a journal twice
// changes nothing, and a row in a later state replaces one in an earlier state. Not thread-safe.
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

// A request with its journal events, or a single event that belongs to no known request.
struct AccountEntry {
    const RequestAccount* account = nullptr;  // null: the entry is the event events_by_attempt[0][0]
    // Events of each attempt, with the indexes of account->attempts.
    std::vector<std::vector<decide::LoggedQuery>> events_by_attempt;
    // Events of this request whose attempt is not in the ledger.
    std::vector<decide::LoggedQuery> unmatched_events;
};

class AccountingStore {
public:
    // Opens or creates the file (see Ledger::open). ":memory:" opens a database in memory.
    StoreFailure open(const std::string& file, bool read_only = false);

    // See LedgerCollector::collect().
    Result<CollectResult> collect_ledger(const std::string& file);
    // Collects a journal, which has one query-completed event per line. `name` identifies it in `problems`. A
    // last line without a newline is skipped: the engine was killed while writing it, or is still writing it.
    Result<CollectResult> collect_journal(const std::string& name, std::istream& lines);

    // Visits every request, ordered by incarnation name and request number, and every event that belongs to
    // no request. Events without an attempt tag are visited first. Unreadable data is reported to
    // `report_damage`.
    StoreFailure for_each_entry(const std::function<void(const AccountEntry&)>& visit,
                                const DamageReporter& report_damage);
    // Adds the gaps and the clock slack of each incarnation to `records_by_name`, by incarnation name. An
    // incarnation that was neither ended nor marked as killed gets an open gap after its last commit.
    StoreFailure incarnations(std::map<std::string, decide::IncarnationRecord>& records_by_name);
    Ledger& ledger() {
        return ledger_;
    }

private:
    using RecordsByRow = std::map<std::int64_t, decide::IncarnationRecord*>;

    StoreFailure read_gaps(const RecordsByRow& records);
    StoreFailure read_clock_slack(const RecordsByRow& records);
    StoreFailure insert_event(Statement& insert, const decide::LoggedQuery& event, bool& inserted);

    Ledger ledger_;
};

}  // namespace gatetiller::store
