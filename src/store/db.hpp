// SQLite for the rest of the package: databases, prepared statements and transactions.
//
// One connection belongs to one thread at a time. Nothing throws: operations return a StoreFailure, in which
// SQLite's result code has become a StoreError. Source: the pages of SQLite 3.40 on its C interface.
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

// A prepared statement. Parameters and columns count from 0. Not to be used after its Db is closed.
class Statement {
public:
    Statement() = default;
    Statement(Statement&& other) noexcept;
    Statement& operator=(Statement&& other) noexcept;
    ~Statement();

    Statement& bind(int parameter, std::int64_t value);
    // The text is copied.
    Statement& bind(int parameter, std::string_view text);

    // True: it stands on a row, for column_int64() and column_text(). False: done or failed, as failure()
    // says; it may be bound and stepped again.
    bool step();
    // Steps to the end, for statements without rows.
    StoreFailure run();
    // Of the last step(), or of Db::prepare().
    const StoreFailure& failure() const {
        return failure_;
    }

    // A column of the row; 0 or an empty text for NULL.
    std::int64_t column_int64(int column) const;
    std::string column_text(int column) const;
    // Leaves the row before the end, so that the statement can be bound again.
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
    std::string vfs{};  // SQLite's file layer; empty: the system's
};

// A connection to one database file.
class Db {
public:
    Db() = default;
    Db(const Db&) = delete;
    Db& operator=(const Db&) = delete;
    ~Db();

    // Errors: no_access where the file can't be opened, and those of its first reading.
    StoreFailure open(const std::string& file, const OpenOptions& options);
    // Statements are to be destroyed before. The last connection to a file folds its write-ahead log into it.
    void close();
    bool is_open() const {
        return handle_ != nullptr;
    }

    // Runs statements without parameters.
    StoreFailure exec(const std::string& sql);
    // A failure shows in the statement's failure() and at its step().
    Statement prepare(const std::string& sql);
    // The first column of the first row; 0 or an empty text without a row.
    Result<std::int64_t> query_int64(const std::string& sql);
    Result<std::string> query_text(const std::string& sql);

    // The row of the last insertion, and the number of rows that the last statement changed.
    std::int64_t last_insert_row() const;
    std::int64_t changed_rows() const;

    // Copies the database, `pages_at_once` at a time, while others write.
    StoreFailure copy_to(const std::string& file, int pages_at_once);
    const std::string& file() const {
        return file_;
    }

private:
    friend class Statement;

    StoreFailure to_failure(int code) const;

    sqlite3* handle_ = nullptr;
    std::string file_;
};

// A transaction for writing; rolled back at its end unless it was committed.
class Transaction {
public:
    explicit Transaction(Db& db) : db_(db), begin_failure_(db.exec("BEGIN IMMEDIATE")) {}
    ~Transaction() {
        if (!begin_failure_ && !committed_)
            (void)db_.exec("ROLLBACK");
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;

    // Whether it could not begin: locked where another connection writes for long.
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
