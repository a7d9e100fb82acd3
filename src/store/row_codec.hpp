// Encodes requests and attempts as rows of the tables `requests` and `attempts`. Each row has a checksum over
// its columns, which detects rows that were damaged in place.
//
// The key of a request is the row of its incarnation in the upper 32 bits and its number in the lower 32
// bits, so that rows of an incarnation are ordered by receipt.
#pragma once

#include "decide/account.hpp"
#include "store/name_cache.hpp"

namespace gatetiller::store {

using decide::AttemptRow;
using decide::RequestRow;

constexpr int kIncarnationShift = 32;

constexpr std::int64_t request_key(std::int64_t incarnation_row, std::uint32_t number) {
    return incarnation_row << kIncarnationShift | number;
}
constexpr std::int64_t incarnation_row_of(std::int64_t request_key) {
    return request_key >> kIncarnationShift;
}
constexpr std::uint32_t request_number_of(std::int64_t request_key) {
    return static_cast<std::uint32_t>(request_key);
}

// Writes and reads rows of one open database.
class RowCodec {
public:
    explicit RowCodec(Db& db) : db_(db), name_cache_(db) {}

    // Prepares the statements for writing; not needed for reading.
    StoreFailure prepare();
    // Must be called before the database is closed.
    void close();
    // Must be called after a transaction with write() was rolled back.
    void on_rolled_back() {
        name_cache_.clear();
    }

    // Inserts the row, or replaces the one with the same key.
    StoreFailure write(std::int64_t incarnation_row, const RequestRow& request);
    StoreFailure write(std::int64_t incarnation_row, const AttemptRow& attempt);

    // Reads the current row of `statement` (a SELECT * of the table). Returns false if the row doesn't match
    // its checksum.
    bool read(Statement& statement, RequestRow& request);
    bool read(Statement& statement, AttemptRow& attempt);

    std::shared_ptr<const decide::Requester> requester_at(std::int64_t row) {
        return name_cache_.requester_at(row);
    }

private:
    Db& db_;
    NameCache name_cache_;
    Statement write_request_;
    Statement write_attempt_;
};

}  // namespace gatetiller::store
