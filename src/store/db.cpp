#include "store/db.hpp"

#include <sqlite3.h>

#include <utility>

namespace gatetiller::store {
namespace {

StoreError error_of(int code) {
    switch (code & 0xff) {
        case SQLITE_OK:
        case SQLITE_ROW:
        case SQLITE_DONE:
            return StoreError::none;
        case SQLITE_FULL:
            return StoreError::full;
        case SQLITE_READONLY:
        case SQLITE_PERM:
            return StoreError::read_only;
        case SQLITE_CORRUPT:
            return StoreError::corrupt;
        case SQLITE_NOTADB:
            return StoreError::foreign;
        case SQLITE_BUSY:
        case SQLITE_LOCKED:
            return StoreError::locked;
        case SQLITE_CANTOPEN:
            return StoreError::no_access;
        default:
            return StoreError::io;
    }
}

}  // namespace

Statement::Statement(Statement&& other) noexcept
    : db_(other.db_), held_(std::exchange(other.held_, nullptr)), failure_(std::move(other.failure_)) {}

Statement& Statement::operator=(Statement&& other) noexcept {
    std::swap(db_, other.db_);
    std::swap(held_, other.held_);
    std::swap(failure_, other.failure_);
    return *this;
}

Statement::~Statement() {
    sqlite3_finalize(held_);
}

Statement& Statement::bind(int at, std::int64_t value) {
    if (held_)
        sqlite3_bind_int64(held_, at + 1, value);
    return *this;
}

Statement& Statement::bind(int at, std::string_view text) {
    if (held_)
        sqlite3_bind_text64(held_, at + 1, text.empty() ? "" : text.data(), text.size(), SQLITE_TRANSIENT,
                            SQLITE_UTF8);
    return *this;
}

bool Statement::step() {
    if (!held_)
        return false;
    const int code = sqlite3_step(held_);
    if (code == SQLITE_ROW)
        return true;
    failure_ = code == SQLITE_DONE ? StoreFailure{} : db_->failure_of(code);
    sqlite3_reset(held_);
    return false;
}

StoreFailure Statement::run() {
    while (step()) {}
    return failure_;
}

std::int64_t Statement::number(int column) const {
    return sqlite3_column_int64(held_, column);
}

std::string Statement::text(int column) const {
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(held_, column));
    return bytes ? std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(held_, column))) : "";
}

void Statement::reset() {
    sqlite3_reset(held_);
}

Db::Db(Db&& other) noexcept : held_(std::exchange(other.held_, nullptr)), file_(std::move(other.file_)) {}

Db& Db::operator=(Db&& other) noexcept {
    std::swap(held_, other.held_);
    std::swap(file_, other.file_);
    return *this;
}

Db::~Db() {
    close();
}

StoreFailure Db::open(const std::string& file, const OpenOptions& o) {
    close();
    file_ = file;
    const int flags =
        (o.read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | (o.create ? SQLITE_OPEN_CREATE : 0)) |
        SQLITE_OPEN_NOMUTEX;
    const int code = sqlite3_open_v2(file.c_str(), &held_, flags, o.vfs.empty() ? nullptr : o.vfs.c_str());
    if (code == SQLITE_OK) {
        sqlite3_busy_timeout(held_, 2000);
        return {};
    }
    const StoreFailure f = failure_of(code);
    close();
    return f;
}

// Statements must be gone before. With the last connection SQLite folds its write-ahead log into the file.
void Db::close() {
    sqlite3_close_v2(std::exchange(held_, nullptr));
}

StoreFailure Db::failure_of(int code) const {
    if (error_of(code) == StoreError::none)
        return {};
    const int whole = held_ ? sqlite3_extended_errcode(held_) : code;
    std::string text = file_ + ": " + (held_ ? sqlite3_errmsg(held_) : sqlite3_errstr(code)) + " (" +
                       std::to_string(whole) + ")";
    return {error_of(code), std::move(text)};
}

StoreFailure Db::exec(const std::string& sql) {
    if (!held_)
        return {StoreError::no_access, file_ + ": not open"};
    return failure_of(sqlite3_exec(held_, sql.c_str(), nullptr, nullptr, nullptr));
}

Statement Db::prepare(const std::string& sql) {
    Statement s;
    s.db_ = this;
    if (!held_)
        s.failure_ = {StoreError::no_access, file_ + ": not open"};
    else
        s.failure_ = failure_of(sqlite3_prepare_v2(held_, sql.c_str(), -1, &s.held_, nullptr));
    return s;
}

std::int64_t Db::last_row() const {
    return sqlite3_last_insert_rowid(held_);
}
std::int64_t Db::changed() const {
    return sqlite3_changes64(held_);
}

Result<std::int64_t> Db::number(const std::string& sql) {
    auto s = prepare(sql);
    if (s.step())
        return s.number(0);
    if (s.failure())
        return Error{s.failure().text};
    return std::int64_t{0};
}

Result<std::string> Db::text(const std::string& sql) {
    auto s = prepare(sql);
    if (s.step())
        return s.text(0);
    if (s.failure())
        return Error{s.failure().text};
    return std::string();
}

StoreFailure Db::copy_to(const std::string& file, int pages) {
    Db to;
    if (auto f = to.open(file, {}))
        return f;
    sqlite3_backup* backup = sqlite3_backup_init(to.held_, "main", held_, "main");
    if (!backup)
        return to.failure_of(sqlite3_errcode(to.held_));
    int code = SQLITE_OK;
    // In portions, so that a writer is never held up for longer than one of them.
    do
        code = sqlite3_backup_step(backup, pages);
    while (code == SQLITE_OK || code == SQLITE_BUSY || code == SQLITE_LOCKED);
    sqlite3_backup_finish(backup);
    return code == SQLITE_DONE ? StoreFailure{} : to.failure_of(code);
}

}  // namespace gatetiller::store
