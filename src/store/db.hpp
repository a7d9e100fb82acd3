// SQLite wrapper: databases, prepared statements and transactions.
//
// A connection may be used by one thread at a time. Nothing throws: operations return a StoreFailure, with
// SQLite's result code mapped to a StoreError. Source: the SQLite 3.40 documentation of the C interface.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "store/failure.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace gatetiller::store {

class Db;

// A prepared statement. Parameters and columns are numbered from 0. Must not be used after its Db is closed.
class Statement {
public:
    Statement() = default;
    Statement(Statement&& other) noexcept;
    Statement& operator=(Statement&& other) noexcept;
    ~Statement();

    Statement& bind(int parameter, std::int64_t value);
    // The text is copied.
    Statement& bind(int parameter, std::string_view text);

    // Returns true if a row is available to column_int64() and column_text(). Returns false if the statement
    // is done or failed (see failure()); it can then be bound and stepped again.
    bool step();
    // Runs a statement that returns no rows to completion.
    StoreFailure run();
    // Failure of the last step(), or of Db::prepare().
    const StoreFailure& failure() const {
        return failure_;
    }

    // Value of a column of the current row; 0 or an empty string for NULL.
    std::int64_t column_int64(int column) const;
    std::string column_text(int column) const;
    // Resets the statement before its last row, so that it can be bound again.
    void reset();

private:
    friend class Db;

    Db* db_ = nullptr;
    sqlite3_stmt* handle_ = nullptr;
    StoreFailure failure_;
};

struct OpenOptions {
    bool read_only = false;
    bool create = true;
    std::string vfs{};  // name of an SQLite VFS; empty: the default one
};

// A connection to one database file.
class Db {
public:
    Db() = default;
    Db(const Db&) = delete;
    Db& operator=(const Db&) = delete;
    ~Db();

    // Errors: no_access if the file can't be opened, and those of the first read.
    StoreFailure open(const std::string& file, const OpenOptions& options);
    // Statements must be destroyed first. Closing the last connection to a file checkpoints its write-ahead
    // log.
    void close();
    bool is_open() const {
        return handle_ != nullptr;
    }

    // Runs statements without parameters.
    StoreFailure exec(const std::string& sql);
    // A failure is returned by the statement's failure(), and its step() then returns false.
    Statement prepare(const std::string& sql);
    // Returns the first column of the first row; 0 or an empty string if there is no row.
    Result<std::int64_t> query_int64(const std::string& sql);
    Result<std::string> query_text(const std::string& sql);

    // Row id of the last insertion, and number of rows that the last statement changed.
    std::int64_t last_insert_row() const;
    std::int64_t changed_rows() const;

    // Copies the database, `pages_per_step` pages at a time, while other connections may write to it.
    StoreFailure copy_to(const std::string& file, int pages_per_step);
    const std::string& file() const {
        return file_;
    }

private:
    friend class Statement;

    StoreFailure to_failure(int code) const;

    sqlite3* handle_ = nullptr;
    std::string file_;
};

// A write transaction. The destructor rolls it back unless it was committed.
class Transaction {
public:
    explicit Transaction(Db& db) : db_(db), begin_failure_(db.exec("BEGIN IMMEDIATE")) {}
    ~Transaction() {
        if (!begin_failure_ && !committed_)
            (void)db_.exec("ROLLBACK");
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;

    // Failure of BEGIN, for example locked if another connection holds the write lock beyond the busy
    // timeout.
    const StoreFailure& begin_failure() const {
        return begin_failure_;
    }
    StoreFailure commit() {
        StoreFailure failure = db_.exec("COMMIT");
        committed_ = !failure;
        return failure;
    }

private:
    Db& db_;
    StoreFailure begin_failure_;
    bool committed_ = false;
};

}  // namespace gatetiller::store
