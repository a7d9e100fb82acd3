// Merges one ledger into another file with the same schema. A row in a later state replaces one in an earlier
// state, so collecting a ledger twice, or a copy of it, changes nothing.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "store/chunked_transaction.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

// Counts and problems of one collection.
struct CollectResult {
    std::int64_t requests = 0;        // new ones, and known ones in a later state
    std::int64_t attempts = 0;        // likewise
    std::int64_t known_requests = 0;  // requests that were already collected
    std::int64_t events = 0;
    std::int64_t known_events = 0;
    std::vector<std::string> problems;  // unreadable rows and lines, each with its location
};

// Collects `file` into `target`, once.
class LedgerCollector {
public:
    LedgerCollector(Ledger& target, std::string file) : target_(target), file_(std::move(file)) {}

    // Fails if the ledger can't be opened or `target` can't be written. Of a damaged ledger the readable rows
    // are collected: `problems` lists the unreadable ones, and each incarnation gets a gap over its whole
    // duration.
    Result<CollectResult> collect();

private:
    StoreFailure adopt_incarnations();
    StoreFailure collect_accounts(ChunkedTransaction& transaction);
    StoreFailure collect_request(std::int64_t incarnation_row, const RequestRow& request);
    StoreFailure collect_attempt(std::int64_t incarnation_row, const AttemptRow& attempt);
    StoreFailure collect_gaps();
    StoreFailure add_damage_gaps();
    StoreFailure collect_clock_steps();

    Ledger& target_;
    std::string file_;
    Ledger source_;
    CollectResult result_;
    std::vector<Incarnation> incarnations_;
    std::map<std::int64_t, std::int64_t>
        target_rows_;  // rows of the incarnations: in `source_` -> in `target_`
    Statement find_request_;
    Statement find_attempt_;
    Statement insert_gap_;
};

}  // namespace gatetiller::store
