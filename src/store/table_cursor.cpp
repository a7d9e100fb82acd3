#include "store/table_cursor.hpp"

#include "store/ledger.hpp"

namespace gatetiller::store {

TableCursor::TableCursor(Db& db, std::string table, const std::string& key_column,
                         const DamageReporter& damaged)
    : table_(std::move(table)),
      statement_(db.prepare("SELECT * FROM " + table_ + " WHERE " + key_column + ">? AND " + key_column +
                            "<? ORDER BY " + key_column + (key_column == "row" ? "" : ",number"))),
      damaged_(damaged) {}

void TableCursor::start(const Incarnation& incarnation) {
    incarnation_ = &incarnation;
    key_ = request_key(incarnation.row, 0);
    end_key_ = request_key(incarnation.row + 1, 0);
    step_ = 1;
    unreadable_behind_.reset();
    seek_behind(key_);
    next();
}

void TableCursor::next() {
    for (valid_ = true;;) {
        if (statement_.step()) {
            const std::int64_t key = statement_.column_int64(0);
            if (unreadable_behind_)
                report_until(key);
            key_ = key;
            step_ = 1;
            return;
        }
        const bool failed = static_cast<bool>(statement_.failure());
        if (failed && !unreadable_behind_)
            unreadable_behind_ = key_;
        if (!failed || *unreadable_behind_ + step_ >= end_key_) {
            if (unreadable_behind_)
                report_until(end_key_);
            valid_ = false;
            return;
        }
        seek_behind(*unreadable_behind_ + step_);
        step_ *= 2;
    }
}

void TableCursor::seek_behind(std::int64_t key) {
    statement_.reset();
    statement_.bind(0, key).bind(1, end_key_);
}

void TableCursor::report_until(std::int64_t key) {
    damaged_(table_ + ": unreadable in life " + incarnation_->name + " from behind number " +
             std::to_string(request_number_of(*unreadable_behind_)) +
             (key == end_key_ ? " to its end" : " to before " + std::to_string(request_number_of(key))));
    unreadable_behind_.reset();
}

}  // namespace gatetiller::store
