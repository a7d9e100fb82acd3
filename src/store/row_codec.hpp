// Requests and attempts as rows of the tables `requests` and `attempts`, each with a checksum over its
// columns, so that a row that was damaged in place is noticed.
//
// The key of a request's row is its incarnation's row in the upper 32 bits and its number in the lower ones,
// so that rows stand in the order in which one incarnation took them.
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
    explicit RowCodec(Db& db) : db_(db), names_(db) {}

    // For writing: prepares its statements. Reading alone needs none.
    StoreFailure prepare();
    // Before the database is closed.
    void close();
    // After a transaction with write() was rolled back.
    void on_rolled_back() {
        names_.clear();
    }

    // Replaces the row of the same key.
    StoreFailure write(std::int64_t incarnation_row, const RequestRow& request);
    StoreFailure write(std::int64_t incarnation_row, const AttemptRow& attempt);

    // Reads the row that `statement` (a SELECT * of the table) stands on. False: it doesn't match its
    // checksum.
    bool read(Statement& statement, RequestRow& request);
    bool read(Statement& statement, AttemptRow& attempt);

    std::shared_ptr<const decide::Requester> requester_at(std::int64_t row) {
        return names_.requester_at(row);
    }

private:
    Db& db_;
    NameCache names_;
    Statement write_request_;
    Statement write_attempt_;
};

}  // namespace gatetiller::store
