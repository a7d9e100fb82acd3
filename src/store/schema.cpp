#include "store/schema.hpp"

#include <array>
#include <fstream>

namespace gatetiller::store {
namespace {

constexpr std::int64_t kApplicationId = 0x67744c31;

// Step n migrates a file from version n to version n + 1.
constexpr std::array<const char*, kSchemaVersion> kMigrationSteps = {
    R"(CREATE TABLE lives(row INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE, front TEXT NOT NULL,
         began INTEGER NOT NULL, last INTEGER NOT NULL, ended INTEGER NOT NULL);
       CREATE TABLE who(row INTEGER PRIMARY KEY, user TEXT, source TEXT, tags TEXT, class TEXT, tenant TEXT,
         UNIQUE(user, source, tags, class, tenant));
       CREATE TABLE engines(row INTEGER PRIMARY KEY, name TEXT, kind TEXT, UNIQUE(name, kind));
       CREATE TABLE requests(row INTEGER PRIMARY KEY, who INTEGER, id TEXT, key TEXT, key_window INTEGER,
         taken INTEGER, state INTEGER, error INTEGER, attempts INTEGER, ended_after INTEGER,
         closed_after INTEGER, sum INTEGER);
       CREATE INDEX open_requests ON requests(row) WHERE state = 0;
       CREATE TABLE attempts(request INTEGER, number INTEGER, engine INTEGER, engine_id TEXT, state INTEGER,
         sent_after INTEGER, ended_after INTEGER, grant_bytes INTEGER, work INTEGER, peak_bytes INTEGER,
         spilled_bytes INTEGER, row_bytes INTEGER, whole INTEGER, sum INTEGER,
         PRIMARY KEY(request, number)) WITHOUT ROWID;
       CREATE INDEX out_attempts ON attempts(request, number) WHERE state = 0;
       CREATE TABLE gaps(row INTEGER PRIMARY KEY, life INTEGER, cause INTEGER, since INTEGER, until INTEGER,
         requests INTEGER, updates INTEGER, UNIQUE(life, cause, since, until));
       CREATE TABLE clock_steps(life INTEGER, at INTEGER, by INTEGER, UNIQUE(life, at, by)))",
    R"(CREATE TABLE events(life TEXT, request INTEGER, attempt INTEGER, engine TEXT, id TEXT, user TEXT,
         source TEXT, tags TEXT, created INTEGER, ended INTEGER, work INTEGER, peak_bytes INTEGER,
         spilled_bytes INTEGER, row_bytes INTEGER, error TEXT,
         PRIMARY KEY(life, request, attempt, engine, id)) WITHOUT ROWID;
       CREATE TABLE versions(row INTEGER PRIMARY KEY, period TEXT, made INTEGER, digest TEXT, report TEXT))",
};

}  // namespace

bool has_ledger_header(const std::string& file) {
    // SQLite file format: application_id is stored at offset 68, big-endian.
    static constexpr std::size_t kApplicationIdOffset = 68;
    static constexpr std::size_t kApplicationIdEnd = 72;
    std::ifstream in(file, std::ios::binary);
    std::array<char, kApplicationIdEnd> header{};
    if (!in.read(header.data(), header.size()))
        return false;
    std::int64_t id = 0;
    for (std::size_t i = kApplicationIdOffset; i < kApplicationIdEnd; ++i)
        id = id << 8 | static_cast<unsigned char>(header[i]);
    return id == kApplicationId;
}

StoreFailure migrate_schema(Db& db, bool read_only) {
    const auto application_id = db.query_int64("PRAGMA application_id");
    const auto version = db.query_int64("PRAGMA user_version");
    const auto tables = db.query_int64("SELECT count(*) FROM sqlite_master");
    for (const auto* number : {&application_id, &version, &tables})
        if (!*number)
            return {StoreError::corrupt, number->error()};
    if (*tables > 0 && *application_id != kApplicationId)
        return foreign_database(db.file());
    if (*version > kSchemaVersion)
        return unknown_version(db.file(), *version, kSchemaVersion);
    if (*version == kSchemaVersion)
        return {};
    if (read_only)
        return *version == 0 ? empty_file(db.file()) : StoreFailure{};
    Transaction transaction(db);
    if (transaction.begin_failure())
        return transaction.begin_failure();
    if (auto failure = db.exec("PRAGMA application_id=" + std::to_string(kApplicationId)))
        return failure;
    for (auto step = *version; step < kSchemaVersion; ++step)
        if (auto failure = db.exec(kMigrationSteps.at(static_cast<std::size_t>(step))))
            return failure;
    if (auto failure = db.exec("PRAGMA user_version=" + std::to_string(kSchemaVersion)))
        return failure;
    return transaction.commit();
}

}  // namespace gatetiller::store
