#include "store/db.hpp"

#include <sqlite3.h>

#include <utility>

namespace gatetiller::store {
namespace {

constexpr int kBusyTimeoutMilliseconds = 2000;  // wait for another process to commit

StoreError to_store_error(int code) {
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
    : db_(other.db_), handle_(std::exchange(other.handle_, nullptr)), failure_(std::move(other.failure_)) {}

Statement& Statement::operator=(Statement&& other) noexcept {
    std::swap(db_, other.db_);
    std::swap(handle_, other.handle_);
    std::swap(failure_, other.failure_);
    return *this;
}

Statement::~Statement() {
    sqlite3_finalize(handle_);
}

Statement& Statement::bind(int parameter, std::int64_t value) {
    if (handle_)
        sqlite3_bind_int64(handle_, parameter + 1, value);
    return *this;
}

Statement& Statement::bind(int parameter, std::string_view text) {
    if (handle_)
        sqlite3_bind_text64(handle_, parameter + 1, text.empty() ? "" : text.data(), text.size(),
                            SQLITE_TRANSIENT, SQLITE_UTF8);
    return *this;
}

bool Statement::step() {
    if (!handle_)
        return false;
    const int code = sqlite3_step(handle_);
    if (code == SQLITE_ROW)
        return true;
    failure_ = code == SQLITE_DONE ? StoreFailure{} : db_->to_failure(code);
    sqlite3_reset(handle_);
    return false;
}

StoreFailure Statement::run() {
    while (step()) {}
    return failure_;
}

std::int64_t Statement::column_int64(int column) const {
    return sqlite3_column_int64(handle_, column);
}

std::string Statement::column_text(int column) const {
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(handle_, column));
    return bytes ? std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(handle_, column))) : "";
}

void Statement::reset() {
    sqlite3_reset(handle_);
}

Db::~Db() {
    close();
}

StoreFailure Db::open(const std::string& file, const OpenOptions& options) {
    close();
    file_ = file;
    const int flags =
        (options.read_only ? SQLITE_OPEN_READONLY
                           : SQLITE_OPEN_READWRITE | (options.create ? SQLITE_OPEN_CREATE : 0)) |
        SQLITE_OPEN_NOMUTEX;
    const int code =
        sqlite3_open_v2(file.c_str(), &handle_, flags, options.vfs.empty() ? nullptr : options.vfs.c_str());
    if (code == SQLITE_OK) {
        sqlite3_busy_timeout(handle_, kBusyTimeoutMilliseconds);
        return {};
    }
    StoreFailure failure = to_failure(code);
    close();
    return failure;
}

void Db::close() {
    sqlite3_close_v2(std::exchange(handle_, nullptr));
}

StoreFailure Db::to_failure(int code) const {
    if (to_store_error(code) == StoreError::none)
        return {};
    const int extended = handle_ ? sqlite3_extended_errcode(handle_) : code;
    std::string text = file_ + ": " + (handle_ ? sqlite3_errmsg(handle_) : sqlite3_errstr(code)) + " (" +
                       std::to_string(extended) + ")";
    return {to_store_error(code), std::move(text)};
}

StoreFailure Db::exec(const std::string& sql) {
    if (!handle_)
        return not_open(file_);
    return to_failure(sqlite3_exec(handle_, sql.c_str(), nullptr, nullptr, nullptr));
}

Statement Db::prepare(const std::string& sql) {
    Statement statement;
    statement.db_ = this;
    if (!handle_)
        statement.failure_ = not_open(file_);
    else
        statement.failure_ =
            to_failure(sqlite3_prepare_v2(handle_, sql.c_str(), -1, &statement.handle_, nullptr));
    return statement;
}

std::int64_t Db::last_insert_row() const {
    return sqlite3_last_insert_rowid(handle_);
}
std::int64_t Db::changed_rows() const {
    return sqlite3_changes64(handle_);
}

Result<std::int64_t> Db::query_int64(const std::string& sql) {
    auto statement = prepare(sql);
    if (statement.step())
        return statement.column_int64(0);
    if (statement.failure())
        return Error{statement.failure().text};
    return std::int64_t{0};
}

Result<std::string> Db::query_text(const std::string& sql) {
    auto statement = prepare(sql);
    if (statement.step())
        return statement.column_text(0);
    if (statement.failure())
        return Error{statement.failure().text};
    return std::string();
}

StoreFailure Db::copy_to(const std::string& file, int pages_per_step) {
    Db target;
    if (auto failure = target.open(file, {}))
        return failure;
    sqlite3_backup* backup = sqlite3_backup_init(target.handle_, "main", handle_, "main");
    if (!backup)
        return target.to_failure(sqlite3_errcode(target.handle_));
    int code = SQLITE_OK;
    // A writer waits for one step at most.
    do
        code = sqlite3_backup_step(backup, pages_per_step);
    while (code == SQLITE_OK || code == SQLITE_BUSY || code == SQLITE_LOCKED);
    sqlite3_backup_finish(backup);
    return code == SQLITE_DONE ? StoreFailure{} : target.to_failure(code);
}

}  // namespace gatetiller::store
