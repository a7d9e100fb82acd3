// The ledger in its file: every request's account as rows, written in batches, each of which is in the file
// completely or not at all.
//
// The same file form serves a front (one incarnation after another) and the accounting store (rows of many
// fronts and the engines' journals, see accounting_store.hpp). An incarnation is one run of a front, from its
// start to its end or its killing; a request is known by its incarnation and its number in it.
//
// Times are Micros of the wall clock since 1970 unless they are called spans. Operations return a
// StoreFailure (failure.hpp) and leave the file as it was before a failed one. Not for use by two threads at
// once; other processes may read while one writes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decide/account.hpp"
#include "decide/ledger_state.hpp"
#include "store/db.hpp"
#include "store/row_codec.hpp"
#include "store/schema.hpp"
#include "store/table_cursor.hpp"

namespace gatetiller::store {

using decide::LedgerGap;

// What one commit holds.
struct Batch {
    // Of the rows of one key the last one counts.
    std::vector<std::variant<RequestRow, AttemptRow>> rows;
    std::vector<LedgerGap> gaps;
    // Steps of the wall clock: when (after the step), and by what span.
    std::vector<std::pair<Micros, Micros>> clock_steps;
    // Everything until this time is in this batch or in one before.
    Micros complete_until = 0;
};

struct Incarnation {
    std::int64_t row = 0;
    std::string name;  // 16 hex digits
    std::string front;
    Micros started_at = 0;
    Micros last_commit_at = 0;  // of the last commit
    Micros ended_at = 0;        // 0: running, or killed
};

// What a new incarnation finds of those before it.
struct RecoveredState {
    std::int64_t requests_interrupted = 0;
    std::int64_t attempts_interrupted = 0;
    // Where the last one was killed: the time at its end in which requests may be missing.
    std::optional<LedgerGap> killed_gap;
};

// A request with its attempts, in the order of their numbers.
struct RequestAccount {
    const Incarnation* incarnation = nullptr;
    RequestRow request;
    std::vector<AttemptRow> attempts;
};

struct LedgerOptions {
    std::string vfs{};  // SQLite's file layer; empty: the system's
    bool read_only = false;
};

class Ledger {
public:
    Ledger() = default;
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    // Opens or creates the file and migrates an older version of it (not with read_only). Errors: those of
    // migrate_schema() and of Db::open().
    StoreFailure open(const std::string& file, const LedgerOptions& options);
    void close();
    bool is_open() const {
        return db_.is_open();
    }

    // Begins an incarnation, to which write() adds from then on. Whatever earlier ones had in flight is
    // marked as interrupted, and the gap of a killed one is added. An existing name is continued, for example
    // after a front could not reach its file for a while.
    StoreFailure begin_incarnation(const std::string& name, const std::string& front, Micros wall,
                                   RecoveredState& recovered);
    StoreFailure end_incarnation(Micros wall);
    StoreFailure write(const Batch& batch);

    // Removes the oldest closed requests, taken before `wall`, `max_requests` at most, and adds them to the
    // gap of what was removed. An open one keeps those behind it. `removed` is 0 once none is left.
    StoreFailure expire(Micros wall, int max_requests, std::int64_t& removed);

    // The work of one requester in one step of time.
    struct WorkSample {
        std::shared_ptr<const decide::Requester> requester;
        Micros interval_start = 0;  // begin of the step
        Micros work = 0;            // span of processor time
    };
    // The work of all requests taken since `wall`, by requester and by `step` (a span).
    StoreFailure work_samples_since(Micros wall, Micros step, std::vector<WorkSample>& to);

    // Copies the file while others write.
    StoreFailure snapshot(const std::string& file);

    // Gives all requests in the order of their incarnations' names and their numbers. What can't be read (a
    // damaged page, a row that doesn't match its checksum) is left out and reported to `damaged`.
    StoreFailure for_each_request(const std::function<void(const RequestAccount&)>& visit,
                                  const DamageReporter& damaged);
    // Gives the requests that have a key and its window, without their attempts.
    StoreFailure for_each_request_with_key(
        const std::function<void(const Incarnation&, const RequestRow&)>& visit);

    // Each of these adds to `to`: incarnations in the order of their rows,
    StoreFailure incarnations(std::vector<Incarnation>& to);
    // gaps in the order of time, with the front's name,
    StoreFailure gaps(std::vector<std::pair<std::string, LedgerGap>>& to);
    // and steps of the clock in the order of time, as in Batch.
    StoreFailure clock_steps(std::vector<std::pair<Micros, Micros>>& to);

    // For the accounting store: adds an incarnation of another ledger or extends the known one, and gives its
    // row here.
    StoreFailure upsert_incarnation(const Incarnation& incarnation, std::int64_t& row);
    // Replaces a row, within the caller's transaction.
    StoreFailure put(std::int64_t incarnation_row, const RequestRow& request) {
        return codec_.write(incarnation_row, request);
    }
    StoreFailure put(std::int64_t incarnation_row, const AttemptRow& attempt) {
        return codec_.write(incarnation_row, attempt);
    }
    Db& db() {
        return db_;
    }

private:
    StoreFailure prepare();
    template <typename Row, typename State>
    StoreFailure mark_interrupted(const char* select_open, State interrupted, std::int64_t& marked);
    StoreFailure recover(const std::vector<Incarnation>& earlier, Micros wall, RecoveredState& recovered);
    StoreFailure write_rows(const Batch& batch);
    StoreFailure add_gap(std::int64_t incarnation_row, const LedgerGap& gap);
    StoreFailure select_expired(Micros wall, int max_requests, std::int64_t& last_key, LedgerGap& gap);
    StoreFailure delete_until(std::int64_t last_key);
    StoreFailure grow_expired_gap(const LedgerGap& gap);
    std::vector<AttemptRow> read_attempts(TableCursor& attempts, const Incarnation& incarnation,
                                          std::int64_t request, const DamageReporter& damaged);

    Db db_;
    RowCodec codec_{db_};
    std::int64_t incarnation_row_ = 0;
    Statement insert_gap_;
    Statement insert_clock_step_;
    Statement update_last_;
};

}  // namespace gatetiller::store
