#include "store/ledger.hpp"

#include <algorithm>

namespace gatetiller::store {
namespace {

using decide::AttemptState;
using decide::RequestState;

// Maximum time for which requests are uncommitted: a flush interval, a commit, and clock steps below the
// detection threshold.
constexpr Micros kMaxUncommittedDuration = 300 * kMillisecond;
constexpr int kPagesFreedPerExpiry = 1000;
constexpr int kPagesCopiedPerStep = 500;

}  // namespace

StoreFailure Ledger::open(const std::string& file, const LedgerOptions& options) {
    close();
    if (auto failure = db_.open(file, {options.read_only, !options.read_only, options.vfs}))
        return failure;
    // synchronous=FULL: a committed batch survives a power failure.
    if (!options.read_only)
        if (auto failure = db_.exec("PRAGMA auto_vacuum=INCREMENTAL; PRAGMA journal_mode=WAL; PRAGMA "
                                    "synchronous=FULL; PRAGMA temp_store=MEMORY;"
                                    "PRAGMA wal_autocheckpoint=2000; PRAGMA cache_size=-16000;"
                                    "PRAGMA journal_size_limit=67108864"))
            return failure;
    if (auto failure = migrate_schema(db_, options.read_only))
        return failure;
    return options.read_only ? StoreFailure{} : prepare();
}

StoreFailure Ledger::prepare() {
    insert_gap_ = db_.prepare(
        "INSERT OR IGNORE INTO gaps(life,cause,since,until,requests,updates) VALUES(?,?,?,?,?,?)");
    insert_clock_step_ = db_.prepare("INSERT OR IGNORE INTO clock_steps VALUES(?,?,?)");
    update_last_commit_ = db_.prepare("UPDATE lives SET last=? WHERE row=?");
    for (const Statement* statement : {&insert_gap_, &insert_clock_step_, &update_last_commit_})
        if (statement->failure())
            return statement->failure();
    return codec_.prepare();
}

void Ledger::close() {
    insert_gap_ = {};
    insert_clock_step_ = {};
    update_last_commit_ = {};
    codec_.close();
    incarnation_row_ = 0;
    db_.close();
}

StoreFailure Ledger::upsert_incarnation(const Incarnation& incarnation, std::int64_t& row) {
    auto add = db_.prepare("INSERT OR IGNORE INTO lives(name,front,began,last,ended) VALUES(?,?,?,?,?)");
    add.bind(0, incarnation.name).bind(1, incarnation.front).bind(2, incarnation.started_at);
    add.bind(3, incarnation.last_commit_at).bind(4, incarnation.ended_at);
    if (auto failure = add.run())
        return failure;
    auto extend = db_.prepare("UPDATE lives SET last=max(last,?), ended=max(ended,?) WHERE name=?");
    extend.bind(0, incarnation.last_commit_at).bind(1, incarnation.ended_at).bind(2, incarnation.name);
    if (auto failure = extend.run())
        return failure;
    auto find = db_.prepare("SELECT row FROM lives WHERE name=?");
    find.bind(0, incarnation.name);
    row = find.step() ? find.column_int64(0) : 0;
    return find.failure();
}

StoreFailure Ledger::begin_incarnation(const std::string& name, const std::string& front, Micros wall_now,
                                       RecoveredState& recovered) {
    Transaction transaction(db_);
    if (transaction.begin_failure())
        return transaction.begin_failure();
    std::vector<Incarnation> earlier;
    if (auto failure = incarnations(earlier))
        return failure;
    const bool known = std::any_of(earlier.begin(), earlier.end(), [&](const Incarnation& incarnation) {
        return incarnation.name == name;
    });
    std::int64_t row = 0;
    if (auto failure = upsert_incarnation({0, name, front, wall_now, wall_now, 0}, row))
        return failure;
    if (!known)
        if (auto failure = recover(earlier, wall_now, recovered))
            return failure;
    if (auto failure = transaction.commit())
        return failure;
    incarnation_row_ = row;
    return {};
}

StoreFailure Ledger::recover(const std::vector<Incarnation>& earlier, Micros wall_now,
                             RecoveredState& recovered) {
    if (auto failure =
            mark_interrupted<RequestRow>("SELECT * FROM requests WHERE state=0 ORDER BY row",
                                         RequestState::interrupted, recovered.requests_interrupted))
        return failure;
    if (auto failure =
            mark_interrupted<AttemptRow>("SELECT * FROM attempts WHERE state=0 ORDER BY request",
                                         AttemptState::interrupted, recovered.attempts_interrupted))
        return failure;
    if (earlier.empty() || earlier.back().ended_at != 0)
        return {};
    recovered.killed_gap =
        decide::gap_after_kill(earlier.back().last_commit_at, wall_now, kMaxUncommittedDuration);
    return add_gap(earlier.back().row, *recovered.killed_gap);
}

// The checksum of a row covers its state, so each row has to be read and rewritten.
template <typename Row, typename State>
StoreFailure Ledger::mark_interrupted(const char* select_open, State interrupted, std::int64_t& marked) {
    std::vector<std::pair<std::int64_t, Row>> rows;  // keyed by the incarnation's row
    auto open = db_.prepare(select_open);
    while (open.step()) {
        const std::int64_t key = open.column_int64(0);
        Row row;
        if (!codec_.read(open, row))
            continue;
        row.state = interrupted;
        rows.emplace_back(incarnation_row_of(key), std::move(row));
    }
    if (open.failure())
        return open.failure();
    marked = static_cast<std::int64_t>(rows.size());
    for (const auto& [incarnation_row, row] : rows)
        if (auto failure = codec_.write(incarnation_row, row))
            return failure;
    return {};
}

StoreFailure Ledger::end_incarnation(Micros wall_now) {
    auto update = db_.prepare("UPDATE lives SET last=?, ended=? WHERE row=?");
    update.bind(0, wall_now).bind(1, wall_now).bind(2, incarnation_row_);
    return update.run();
}

StoreFailure Ledger::write(const Batch& batch) {
    Transaction transaction(db_);
    if (transaction.begin_failure())
        return transaction.begin_failure();
    auto failure = write_rows(batch);
    if (!failure)
        failure = transaction.commit();
    if (failure)
        codec_.on_rolled_back();
    return failure;
}

StoreFailure Ledger::write_rows(const Batch& batch) {
    const auto write_row = [this](const auto& row) {
        return codec_.write(incarnation_row_, row);
    };
    for (const auto& row : batch.rows)
        if (auto failure = std::visit(write_row, row))
            return failure;
    for (const LedgerGap& gap : batch.gaps)
        if (auto failure = add_gap(incarnation_row_, gap))
            return failure;
    for (const auto& [at, step] : batch.clock_steps) {
        insert_clock_step_.bind(0, incarnation_row_).bind(1, at).bind(2, step);
        if (auto failure = insert_clock_step_.run())
            return failure;
    }
    update_last_commit_.bind(0, batch.complete_until).bind(1, incarnation_row_);
    return update_last_commit_.run();
}

StoreFailure Ledger::add_gap(std::int64_t incarnation_row, const LedgerGap& gap) {
    insert_gap_.bind(0, incarnation_row).bind(1, static_cast<int>(gap.cause));
    insert_gap_.bind(2, gap.from).bind(3, gap.to).bind(4, gap.requests).bind(5, gap.updates);
    return insert_gap_.run();
}

StoreFailure Ledger::expire(Micros received_before, int max_requests, std::int64_t& removed) {
    removed = 0;
    Transaction transaction(db_);
    if (transaction.begin_failure())
        return transaction.begin_failure();
    std::int64_t last_key = 0;
    LedgerGap gap{StoreError::none, received_before, 0, 0, 0};
    if (auto failure = select_expired(received_before, max_requests, last_key, gap))
        return failure;
    if (last_key == 0)
        return {};
    if (auto failure = delete_up_to(last_key))
        return failure;
    if (auto failure = extend_expired_gap(gap))
        return failure;
    if (auto failure = transaction.commit())
        return failure;
    removed = gap.requests;
    // Freed pages are returned to the file system in small steps, so that no batch waits long.
    return db_.exec("PRAGMA incremental_vacuum(" + std::to_string(kPagesFreedPerExpiry) + ")");
}

// Row keys follow the order of receipt, so the oldest requests come first.
StoreFailure Ledger::select_expired(Micros received_before, int max_requests, std::int64_t& last_key,
                                    LedgerGap& gap) {
    auto oldest = db_.prepare("SELECT row, taken, state FROM requests ORDER BY row LIMIT ?");
    oldest.bind(0, max_requests);
    while (oldest.step()) {
        const Micros received_at = oldest.column_int64(1);
        const bool open = oldest.column_int64(2) == static_cast<int>(RequestState::open);
        if (received_at >= received_before || open)
            break;
        last_key = oldest.column_int64(0);
        ++gap.requests;
        gap.from = std::min(gap.from, received_at);
        gap.to = std::max(gap.to, received_at);
    }
    oldest.reset();
    return oldest.failure();
}

StoreFailure Ledger::delete_up_to(std::int64_t last_key) {
    for (const char* sql : {"DELETE FROM attempts WHERE request<=?", "DELETE FROM requests WHERE row<=?"}) {
        auto remove = db_.prepare(sql);
        remove.bind(0, last_key);
        if (auto failure = remove.run())
            return failure;
    }
    return {};
}

// A single gap, without incarnation and with cause none, covers all requests removed by age.
StoreFailure Ledger::extend_expired_gap(const LedgerGap& gap) {
    auto extend = db_.prepare(
        "UPDATE gaps SET since=min(since,?), until=max(until,?), requests=requests+? "
        "WHERE cause=0");
    extend.bind(0, gap.from).bind(1, gap.to).bind(2, gap.requests);
    if (auto failure = extend.run())
        return failure;
    return db_.changed_rows() == 0 ? add_gap(0, gap) : StoreFailure{};
}

StoreFailure Ledger::snapshot(const std::string& file) {
    return db_.copy_to(file, kPagesCopiedPerStep);
}

}  // namespace gatetiller::store
