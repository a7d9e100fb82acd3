// The settlement's books: rows of several fronts' ledgers and the engines' journals, collected into one file
// of the ledger's form. Collecting is idempotent: the same ledger, a copy of it, or a journal given twice
// changes nothing; a row that says more takes the place of one that says less.
#pragma once

#include <functional>
#include <istream>

#include "decide/settlement.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

struct Collected {
    std::int64_t requests = 0, attempts = 0;  // new, or told more of
    std::int64_t known = 0;                   // requests that were there already
    std::int64_t events = 0, events_known = 0;
    std::vector<std::string> troubles;  // rows and lines that could not be read, each with its place
};

// One request with its attempts, and with what the journals have of each; or queries that no request answers
// to.
struct Entry {
    const Whole* whole = nullptr;                          // none: `logged` stands alone
    std::vector<std::vector<decide::LoggedQuery>> logged;  // by attempt, as in whole->attempts; or logged[0]
    // Queries under this request's name of attempts that the ledger lacks.
    std::vector<decide::LoggedQuery> alone;
};

class Books {
public:
    Failure open(const std::string& file, bool read_only = false);
    Result<Collected> collect_ledger(const std::string& file);
    // A journal: one query-completed event a line. A last line without its end is passed over.
    Result<Collected> collect_journal(const std::string& name, std::istream& lines);
    // Everything, in the order of lives and numbers; queries of unknown lives and untagged ones come last.
    Failure each(const std::function<void(const Entry&)>& entry,
                 const std::function<void(std::string)>& damaged);
    // What each life's ledger says of its gaps, by the life's name.
    Failure lives(std::map<std::string, decide::IncarnationRecord>& to);
    Ledger& ledger() {
        return ledger_;
    }

private:
    Failure put_event(Statement& put, const decide::LoggedQuery& event, std::int64_t& fresh);
    Ledger ledger_;
};

}  // namespace gatetiller::store
