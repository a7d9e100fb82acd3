// The settlement's books: rows of several fronts' ledgers and the engines' journals, collected into one file
// of the ledger's form. Collecting is idempotent: the same ledger, a copy of it, or a journal given twice
// changes nothing; a row that says more takes the place of one that says less.
#pragma once

#include <functional>
#include <istream>

#include "decide/settlement.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

struct CollectResult {
    std::int64_t requests = 0, attempts = 0;  // new, or told more of
    std::int64_t known = 0;                   // requests that were there already
    std::int64_t events = 0, events_known = 0;
    std::vector<std::string> problems;  // rows and lines that could not be read, each with its place
};

// One request with its attempts, and with what the journals have of each; or queries that no request answers
// to.
struct AccountEntry {
    const RequestAccount* account = nullptr;  // none: `logged` stands alone
    std::vector<std::vector<decide::LoggedQuery>>
        logged;  // by attempt, as in account->attempts; or logged[0]
    // Queries under this request's name of attempts that the ledger lacks.
    std::vector<decide::LoggedQuery> unmatched;
};

class AccountingStore {
public:
    StoreFailure open(const std::string& file, bool read_only = false);
    Result<CollectResult> collect_ledger(const std::string& file);
    // A journal: one query-completed event a line. A last line without its end is passed over.
    Result<CollectResult> collect_journal(const std::string& name, std::istream& lines);
    // Everything, in the order of lives and numbers; queries of unknown lives and untagged ones come last.
    StoreFailure for_each(const std::function<void(const AccountEntry&)>& entry,
                          const std::function<void(std::string)>& damaged);
    // What each life's ledger says of its gaps, by the life's name.
    StoreFailure incarnations(std::map<std::string, decide::IncarnationRecord>& to);
    Ledger& ledger() {
        return ledger_;
    }

private:
    StoreFailure put_event(Statement& put, const decide::LoggedQuery& event, std::int64_t& fresh);
    Ledger ledger_;
};

}  // namespace gatetiller::store
