// Splits a long series of writes into transactions with a bounded number of rows, which bounds the size of
// the write-ahead log.
#pragma once

#include "store/db.hpp"

namespace gatetiller::store {

// Begins a transaction on construction. The destructor rolls back an uncommitted chunk; earlier chunks stay
// committed.
class ChunkedTransaction {
public:
    explicit ChunkedTransaction(Db& db) : db_(db), failure_(db.exec("BEGIN IMMEDIATE")) {}
    ~ChunkedTransaction() {
        if (!failure_ && !finished_)
            (void)db_.exec("ROLLBACK");
    }
    ChunkedTransaction(const ChunkedTransaction&) = delete;
    ChunkedTransaction& operator=(const ChunkedTransaction&) = delete;

    // Called after each row. Commits a full chunk and begins the next one.
    StoreFailure on_row_written() {
        if (++rows_ % kRowsPerChunk != 0)
            return failure_;
        failure_ = db_.exec("COMMIT");
        if (!failure_)
            failure_ = db_.exec("BEGIN IMMEDIATE");
        return failure_;
    }
    // Commits the last chunk.
    StoreFailure finish() {
        finished_ = true;
        return failure_ ? failure_ : db_.exec("COMMIT");
    }
    const StoreFailure& failure() const {
        return failure_;
    }

private:
    static constexpr std::int64_t kRowsPerChunk = 20'000;

    Db& db_;
    StoreFailure failure_;
    bool finished_ = false;
    std::int64_t rows_ = 0;
};

}  // namespace gatetiller::store
