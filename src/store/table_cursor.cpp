#include "store/table_cursor.hpp"

#include "store/ledger.hpp"

namespace gatetiller::store {

TableCursor::TableCursor(Db& db, std::string table, const std::string& key_column,
                         const DamageReporter& report_damage)
    : table_(std::move(table)),
      statement_(db.prepare("SELECT * FROM " + table_ + " WHERE " + key_column + ">? AND " + key_column +
                            "<? ORDER BY " + key_column + (key_column == "row" ? "" : ",number"))),
      report_damage_(report_damage) {}

void TableCursor::start(const Incarnation& incarnation) {
    incarnation_ = &incarnation;
    key_ = request_key(incarnation.row, 0);
    end_key_ = request_key(incarnation.row + 1, 0);
    seek_distance_ = 1;
    unreadable_after_.reset();
    seek_after(key_);
    next();
}

void TableCursor::next() {
    for (valid_ = true;;) {
        if (statement_.step()) {
            const std::int64_t key = statement_.column_int64(0);
            if (unreadable_after_)
                report_unreadable_until(key);
            key_ = key;
            seek_distance_ = 1;
            return;
        }
        const bool failed = static_cast<bool>(statement_.failure());
        if (failed && !unreadable_after_)
            unreadable_after_ = key_;
        if (!failed || *unreadable_after_ + seek_distance_ >= end_key_) {
            if (unreadable_after_)
                report_unreadable_until(end_key_);
            valid_ = false;
            return;
        }
        seek_after(*unreadable_after_ + seek_distance_);
        seek_distance_ *= 2;
    }
}

void TableCursor::seek_after(std::int64_t key) {
    statement_.reset();
    statement_.bind(0, key).bind(1, end_key_);
}

void TableCursor::report_unreadable_until(std::int64_t key) {
    report_damage_(
        table_ + ": unreadable rows of incarnation " + incarnation_->name + " after request " +
        std::to_string(request_number_of(*unreadable_after_)) +
        (key == end_key_ ? " to the end" : " to before request " + std::to_string(request_number_of(key))));
    unreadable_after_.reset();
}

}  // namespace gatetiller::store
