// The ledger's write load on three embedded stores: batches of rows, each batch durable before the next, then
// a kill's reopening and a scan. Built with -DGATETILLER_MEASURE=ON; prints a table in Markdown.
#include <lmdb.h>
#include <rocksdb/db.h>
#include <sqlite3.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/random.hpp"

namespace {

using gatetiller::Random;

constexpr int kRowsAtOnce = 4200;  // 2,000 requests and their attempts: a tenth of a second of a busy front
constexpr int kValue = 130;

struct Row {
    std::uint64_t key;  // rises, with an update of an earlier row now and then
    std::string value;
};

double now(clockid_t clock) {
    timespec t{};
    clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

void must(bool fine, const char* what) {
    if (fine)
        return;
    std::fprintf(stderr, "%s failed\n", what);
    std::exit(1);
}

class Store {
public:
    virtual ~Store() = default;
    virtual void open(const std::string& folder) = 0;
    virtual void write(const std::vector<Row>& rows) = 0;  // durable when it returns
    virtual std::size_t scan() = 0;                        // bytes of all values
};

class Sqlite final : public Store {
public:
    ~Sqlite() override {
        sqlite3_finalize(put_);
        sqlite3_close(db_);
    }
    void open(const std::string& folder) override {
        must(sqlite3_open((folder + "/ledger").c_str(), &db_) == SQLITE_OK, "sqlite3_open");
        exec("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA wal_autocheckpoint=2000");
        exec("CREATE TABLE IF NOT EXISTS rows(key INTEGER PRIMARY KEY, value BLOB)");
        must(sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO rows VALUES(?,?)", -1, &put_, nullptr) ==
                 SQLITE_OK,
             "prepare");
    }
    void write(const std::vector<Row>& rows) override {
        exec("BEGIN IMMEDIATE");
        for (const Row& r : rows) {
            sqlite3_bind_int64(put_, 1, static_cast<sqlite3_int64>(r.key));
            sqlite3_bind_blob(put_, 2, r.value.data(), static_cast<int>(r.value.size()), SQLITE_STATIC);
            must(sqlite3_step(put_) == SQLITE_DONE, "step");
            sqlite3_reset(put_);
        }
        exec("COMMIT");
    }
    std::size_t scan() override {
        sqlite3_stmt* s = nullptr;
        sqlite3_prepare_v2(db_, "SELECT key, value FROM rows ORDER BY key", -1, &s, nullptr);
        std::size_t bytes = 0;
        while (sqlite3_step(s) == SQLITE_ROW)
            bytes += static_cast<std::size_t>(sqlite3_column_bytes(s, 1));
        sqlite3_finalize(s);
        return bytes;
    }

private:
    void exec(const char* sql) {
        must(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql);
    }
    sqlite3* db_ = nullptr;
    sqlite3_stmt* put_ = nullptr;
};

class Lmdb final : public Store {
public:
    ~Lmdb() override {
        mdb_env_close(env_);
    }
    void open(const std::string& folder) override {
        must(mdb_env_create(&env_) == 0, "mdb_env_create");
        mdb_env_set_mapsize(env_, std::size_t{1} << 36);
        must(mdb_env_open(env_, folder.c_str(), 0, 0644) == 0, "mdb_env_open");
        MDB_txn* txn = begin(0);
        must(mdb_dbi_open(txn, nullptr, MDB_INTEGERKEY, &dbi_) == 0, "mdb_dbi_open");
        mdb_txn_commit(txn);
    }
    void write(const std::vector<Row>& rows) override {
        MDB_txn* txn = begin(0);
        for (const Row& r : rows) {
            std::uint64_t k = r.key;
            MDB_val key{sizeof k, &k}, value{r.value.size(), const_cast<char*>(r.value.data())};
            must(mdb_put(txn, dbi_, &key, &value, 0) == 0, "mdb_put");
        }
        must(mdb_txn_commit(txn) == 0, "mdb_txn_commit");
    }
    std::size_t scan() override {
        MDB_txn* txn = begin(MDB_RDONLY);
        MDB_cursor* cursor = nullptr;
        mdb_cursor_open(txn, dbi_, &cursor);
        MDB_val key{}, value{};
        std::size_t bytes = 0;
        while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0)
            bytes += value.mv_size;
        mdb_cursor_close(cursor);
        mdb_txn_abort(txn);
        return bytes;
    }

private:
    MDB_txn* begin(unsigned flags) {
        MDB_txn* txn = nullptr;
        must(mdb_txn_begin(env_, nullptr, flags, &txn) == 0, "mdb_txn_begin");
        return txn;
    }
    MDB_env* env_ = nullptr;
    MDB_dbi dbi_ = 0;
};

class Rocks final : public Store {
public:
    void open(const std::string& folder) override {
        rocksdb::Options o;
        o.create_if_missing = true;
        rocksdb::DB* db = nullptr;
        must(rocksdb::DB::Open(o, folder, &db).ok(), "rocksdb::DB::Open");
        db_.reset(db);
    }
    void write(const std::vector<Row>& rows) override {
        rocksdb::WriteBatch batch;
        for (const Row& r : rows)
            batch.Put(key_of(r.key), r.value);
        rocksdb::WriteOptions o;
        o.sync = true;
        must(db_->Write(o, &batch).ok(), "rocksdb write");
    }
    std::size_t scan() override {
        std::unique_ptr<rocksdb::Iterator> i(db_->NewIterator({}));
        std::size_t bytes = 0;
        for (i->SeekToFirst(); i->Valid(); i->Next())
            bytes += i->value().size();
        return bytes;
    }

private:
    static std::string key_of(std::uint64_t key) {
        std::string text(8, '\0');
        for (int i = 0; i < 8; ++i)
            text[static_cast<std::size_t>(i)] = static_cast<char>(key >> (56 - 8 * i));
        return text;
    }
    std::unique_ptr<rocksdb::DB> db_;
};

std::uintmax_t size_of(const std::string& folder) {
    std::uintmax_t sum = 0;
    for (const auto& e : std::filesystem::recursive_directory_iterator(folder))
        if (e.is_regular_file())
            sum += e.file_size();
    return sum;
}

template <typename T>
void measure(const char* name, int batches, const std::string& base) {
    const std::string folder = base + "/" + name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    auto store = std::make_unique<T>();
    store->open(folder);
    Random random(1);
    std::uint64_t next = 0;
    std::vector<double> commits;
    double cpu = 0;
    for (int b = 0; b < batches; ++b) {
        std::vector<Row> rows;
        for (int i = 0; i < kRowsAtOnce; ++i) {
            const std::uint64_t key =
                next > 20'000 && random.chance(0.1) ? next - random.below(20'000) : ++next;
            rows.push_back({key, random.hex(kValue)});
        }
        std::sort(rows.begin(), rows.end(), [](const Row& x, const Row& y) {
            return x.key < y.key;
        });
        const double from = now(CLOCK_MONOTONIC), cpu_from = now(CLOCK_PROCESS_CPUTIME_ID);
        store->write(rows);
        commits.push_back((now(CLOCK_MONOTONIC) - from) * 1000);
        cpu += now(CLOCK_PROCESS_CPUTIME_ID) - cpu_from;
    }
    std::sort(commits.begin(), commits.end());
    const auto p = [&](double q) {
        return commits[static_cast<std::size_t>(q * static_cast<double>(commits.size() - 1))];
    };
    const double rows = static_cast<double>(batches) * kRowsAtOnce;
    const auto written = size_of(folder);
    store.reset();
    double from = now(CLOCK_MONOTONIC);
    store = std::make_unique<T>();
    store->open(folder);
    const double open_ms = (now(CLOCK_MONOTONIC) - from) * 1000;
    from = now(CLOCK_MONOTONIC);
    must(store->scan() == static_cast<std::size_t>(next) * kValue, "the scan's sum");
    const double scan = now(CLOCK_MONOTONIC) - from;
    std::printf("| %s | %.1f / %.1f / %.1f | %.2f | %.0f | %.0f | %.0f |\n", name, p(0.5), p(0.99),
                commits.back(), cpu / rows * 1e6, static_cast<double>(written) / static_cast<double>(next),
                open_ms, scan / static_cast<double>(next) * 1e9);
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    const int batches = argc > 1 ? std::atoi(argv[1]) : 250;
    const std::string folder = argc > 2 ? argv[2] : "records/stores";
    std::printf("%d durable batches of %d rows of %d bytes\n\n", batches, kRowsAtOnce, kValue);
    std::printf(
        "| store | commit in ms, p50 / p99 / most | CPU us a row | bytes a row | open again, ms | scan, ns a "
        "row |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    measure<Sqlite>("SQLite", batches, folder);
    measure<Lmdb>("LMDB", batches, folder);
    measure<Rocks>("RocksDB", batches, folder);
}
