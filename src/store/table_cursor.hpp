// Reads the rows of one incarnation from a table of requests or attempts, skipping unreadable pages.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/db.hpp"

namespace gatetiller::store {

struct Incarnation;

// Receives a description of unreadable data, for operators.
using DamageReporter = std::function<void(std::string)>;

// A cursor in key order. After a read error it seeks beyond the last key it read, doubling the distance until
// a row can be read, and reports the skipped range.
class TableCursor {
public:
    // `key_column` contains request keys (row_codec.hpp). `report_damage` must outlive the cursor.
    TableCursor(Db& db, std::string table, const std::string& key_column,
                const DamageReporter& report_damage);

    // Moves to the first row of `incarnation`, which must outlive the reading of its rows.
    void start(const Incarnation& incarnation);
    void next();
    // Returns whether the cursor is on a row.
    bool valid() const {
        return valid_;
    }
    // Request key of the current row.
    std::int64_t key() const {
        return key_;
    }
    Statement& row() {
        return statement_;
    }

private:
    void seek_after(std::int64_t key);
    void report_unreadable_until(std::int64_t key);

    std::string table_;
    Statement statement_;
    const DamageReporter& report_damage_;
    const Incarnation* incarnation_ = nullptr;
    std::int64_t key_ = 0;
    std::int64_t end_key_ = 0;
    std::int64_t seek_distance_ = 1;
    std::optional<std::int64_t> unreadable_after_;
    bool valid_ = false;
};

}  // namespace gatetiller::store
