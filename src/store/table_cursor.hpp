// Reads the rows of one incarnation in a table of requests or attempts, past pages that can't be read.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/db.hpp"

namespace gatetiller::store {

struct Incarnation;

// Reports a place that can't be read, as text for people.
using DamageReporter = std::function<void(std::string)>;

// A cursor in the order of the key. After a read error it goes on behind the last key that was read, by a
// step that doubles until a row comes again, and reports the range that was left out.
class TableCursor {
public:
    // `key_column` holds request keys (row_codec.hpp). `damaged` outlives the cursor.
    TableCursor(Db& db, std::string table, const std::string& key_column, const DamageReporter& damaged);

    // Goes to the first row of an incarnation, which outlives the reading of its rows.
    void start(const Incarnation& incarnation);
    void next();
    // Whether the cursor stands on a row.
    bool valid() const {
        return valid_;
    }
    // The request key of the row.
    std::int64_t key() const {
        return key_;
    }
    Statement& row() {
        return statement_;
    }

private:
    void seek_behind(std::int64_t key);
    void report_until(std::int64_t key);

    std::string table_;
    Statement statement_;
    const DamageReporter& damaged_;
    const Incarnation* incarnation_ = nullptr;
    std::int64_t key_ = 0;
    std::int64_t end_key_ = 0;
    std::int64_t step_ = 1;
    std::optional<std::int64_t> unreadable_behind_;
    bool valid_ = false;
};

}  // namespace gatetiller::store
