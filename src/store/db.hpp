// store: durable state. This file: SQLite as the rest of the package uses it. One connection belongs to one
// thread at a time. Every failure comes back as Trouble, by what it means to whoever keeps records; nothing
// throws. Source: the C interface's pages of SQLite 3.40.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "decide/ledger_state.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace gatetiller::store {

using decide::StoreError;

struct StoreFailure {
    StoreError error = StoreError::none;
    std::string text;  // what SQLite says, and of which file
    explicit operator bool() const {
        return error != StoreError::none;
    }
};

class Db;

// A prepared statement. Parameters and columns count from 0. Valid as long as its Db.
class Statement {
public:
    Statement() = default;
    Statement(Statement&& other) noexcept;
    Statement& operator=(Statement&& other) noexcept;
    ~Statement();

    Statement& bind(int at, std::int64_t value);
    Statement& bind(int at, std::string_view text);  // copied
    // True: a row is there to be read. False: done, or failed; failure() tells. A statement that is done may
    // be bound and stepped again.
    bool step();
    // Runs to the end, for what has no rows.
    StoreFailure run();
    const StoreFailure& failure() const {
        return failure_;
    }
    std::int64_t number(int column) const;
    std::string text(int column) const;
    void reset();

private:
    friend class Db;
    Db* db_ = nullptr;
    sqlite3_stmt* held_ = nullptr;
    StoreFailure failure_;
};

struct OpenOptions {
    bool read_only = false;
    bool create = true;
    std::string vfs{};  // empty: the system's
};

class Db {
public:
    Db() = default;
    Db(Db&& other) noexcept;
    Db& operator=(Db&& other) noexcept;
    ~Db();

    StoreFailure open(const std::string& file, const OpenOptions& options);
    void close();
    bool is_open() const {
        return held_ != nullptr;
    }
    StoreFailure exec(const std::string& sql);
    Statement prepare(const std::string& sql);  // a failure shows in its failure() and at step()
    std::int64_t last_row() const;
    std::int64_t changed() const;                              // rows by the last statement
    Result<std::int64_t> number(const std::string& sql);       // of the first row; 0 where there is none
    Result<std::string> text(const std::string& sql);          // the same as text
    StoreFailure copy_to(const std::string& file, int pages);  // a whole copy, while others write
    const std::string& file() const {
        return file_;
    }

private:
    friend class Statement;
    StoreFailure failure_of(int code) const;
    sqlite3* held_ = nullptr;
    std::string file_;
};

// A transaction that is rolled back unless it was committed.
class Transaction {
public:
    explicit Transaction(Db& db) : db_(db), begun_(db.exec("BEGIN IMMEDIATE")) {}
    ~Transaction() {
        if (!begun_ && !done_)
            (void)db_.exec("ROLLBACK");
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    const StoreFailure& begun() const {
        return begun_;
    }
    StoreFailure commit() {
        StoreFailure f = db_.exec("COMMIT");
        done_ = !f;
        return f;
    }

private:
    Db& db_;
    StoreFailure begun_;
    bool done_ = false;
};

}  // namespace gatetiller::store
