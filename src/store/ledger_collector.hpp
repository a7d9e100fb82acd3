// Takes one ledger into another file of the ledger's form, by what is known: a row that says more replaces
// one that says less, so that collecting a ledger twice, or a copy of it, changes nothing.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "store/chunked_transaction.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

// What a collection came to.
struct CollectResult {
    std::int64_t requests = 0;        // new ones, and known ones that say more now
    std::int64_t attempts = 0;        // the same
    std::int64_t known_requests = 0;  // requests that were there already
    std::int64_t events = 0;
    std::int64_t known_events = 0;
    std::vector<std::string> problems;  // rows and lines that could not be read, each with its place
};

// For one collection of `file` into `to`.
class LedgerCollector {
public:
    LedgerCollector(Ledger& to, std::string file) : to_(to), file_(std::move(file)) {}

    // An Error where the ledger can't be opened or `to` can't be written. A damaged ledger is collected as
    // far as it can be read: `problems` says what can't, and each of its incarnations gets a gap over its
    // length.
    Result<CollectResult> collect();

private:
    StoreFailure adopt_incarnations();
    StoreFailure collect_accounts(ChunkedTransaction& transaction);
    StoreFailure collect_request(std::int64_t incarnation_row, const RequestRow& request);
    StoreFailure collect_attempt(std::int64_t incarnation_row, const AttemptRow& attempt);
    StoreFailure collect_gaps();
    StoreFailure add_damage_gaps();
    StoreFailure collect_clock_steps();

    Ledger& to_;
    std::string file_;
    Ledger from_;
    CollectResult result_;
    std::vector<Incarnation> incarnations_;
    std::map<std::int64_t, std::int64_t> rows_;  // of the incarnations: in `from_` -> in `to_`
    Statement find_request_;
    Statement find_attempt_;
    Statement put_gap_;
};

}  // namespace gatetiller::store
