// The ledger file: rows for every request and its attempts, written in atomic batches.
//
// A front (one incarnation after another) and the accounting store (rows of many fronts and the engines'
// journals, see accounting_store.hpp) use the same schema. An incarnation is one run of a front, from its
// start until it ends or is killed; a request is identified by its incarnation and its number within it.
//
// Times are microseconds of the wall clock since 1970 unless they are called durations. Operations return a
// StoreFailure (failure.hpp); a failed one leaves the file unchanged. Not thread-safe; other processes may
// read while one writes.
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

// Contents of one commit.
struct Batch {
    // The last row of a key takes effect.
    std::vector<std::variant<RequestRow, AttemptRow>> rows;
    std::vector<LedgerGap> gaps;
    // Steps of the wall clock: the time after the step, and its size.
    std::vector<std::pair<Micros, Micros>> clock_steps;
    // All updates until this time (wall clock) are in this batch or an earlier one.
    Micros complete_until = 0;
};

struct Incarnation {
    std::int64_t row = 0;
    std::string name;  // 16 hex digits
    std::string front;
    Micros started_at = 0;
    Micros last_commit_at = 0;
    Micros ended_at = 0;  // 0: still running, or killed
};

// What a new incarnation recovered from earlier ones.
struct RecoveredState {
    std::int64_t requests_interrupted = 0;
    std::int64_t attempts_interrupted = 0;
    // Set if the previous incarnation was killed: the interval at its end in which requests may be missing.
    std::optional<LedgerGap> killed_gap;
};

// A request with its attempts, ordered by attempt number.
struct RequestAccount {
    const Incarnation* incarnation = nullptr;
    RequestRow request;
    std::vector<AttemptRow> attempts;
};

struct LedgerOptions {
    std::string vfs{};  // name of an SQLite VFS; empty: the default one
    bool read_only = false;
};

class Ledger {
public:
    Ledger() = default;
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    // Opens or creates the file and migrates it from an older schema version (unless read_only). Errors:
    // those of migrate_schema() and Db::open().
    StoreFailure open(const std::string& file, const LedgerOptions& options);
    void close();
    bool is_open() const {
        return db_.is_open();
    }

    // Begins the incarnation to which write() adds rows. Requests and attempts that earlier incarnations had
    // in flight are marked as interrupted, and a gap is added for a killed one. An existing name continues
    // that incarnation, for example after the file was temporarily inaccessible.
    StoreFailure begin_incarnation(const std::string& name, const std::string& front, Micros wall_now,
                                   RecoveredState& recovered);
    StoreFailure end_incarnation(Micros wall_now);
    StoreFailure write(const Batch& batch);

    // Removes at most `max_requests` of the oldest closed requests received before `received_before`, and
    // adds them to the gap of expired requests. Stops at an open request, so later ones are retained.
    // `removed` is 0 once none is left.
    StoreFailure expire(Micros received_before, int max_requests, std::int64_t& removed);

    // Work of one requester in one interval.
    struct WorkSample {
        std::shared_ptr<const decide::Requester> requester;
        Micros interval_start = 0;
        Micros work = 0;  // CPU time
    };
    // Adds the work of all requests received at or after `since` to `samples`, by requester and by intervals
    // of `step`.
    StoreFailure work_samples_since(Micros since, Micros step, std::vector<WorkSample>& samples);

    // Copies the file; other processes may write to it meanwhile.
    StoreFailure snapshot(const std::string& file);

    // Visits all requests, ordered by incarnation name and request number. Unreadable data (a damaged page, a
    // row that doesn't match its checksum) is skipped and reported to `report_damage`.
    StoreFailure for_each_request(const std::function<void(const RequestAccount&)>& visit,
                                  const DamageReporter& report_damage);
    // Visits the requests that have an idempotency key with a window, without their attempts.
    StoreFailure for_each_request_with_key(
        const std::function<void(const Incarnation&, const RequestRow&)>& visit);

    // Adds the incarnations to `result`, ordered by row.
    StoreFailure incarnations(std::vector<Incarnation>& result);
    // Adds the gaps to `result`, ordered by time, each with the name of its front.
    StoreFailure gaps(std::vector<std::pair<std::string, LedgerGap>>& result);
    // Adds the steps of the wall clock to `result`, ordered by time, as in Batch.
    StoreFailure clock_steps(std::vector<std::pair<Micros, Micros>>& result);

    // For the accounting store: inserts an incarnation of another ledger or extends the existing one, and
    // sets `row` to its row in this file.
    StoreFailure upsert_incarnation(const Incarnation& incarnation, std::int64_t& row);
    // Inserts or replaces a row within the caller's transaction.
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
    StoreFailure recover(const std::vector<Incarnation>& earlier, Micros wall_now, RecoveredState& recovered);
    StoreFailure write_rows(const Batch& batch);
    StoreFailure add_gap(std::int64_t incarnation_row, const LedgerGap& gap);
    StoreFailure select_expired(Micros received_before, int max_requests, std::int64_t& last_key,
                                LedgerGap& gap);
    StoreFailure delete_up_to(std::int64_t last_key);
    StoreFailure extend_expired_gap(const LedgerGap& gap);
    std::vector<AttemptRow> read_attempts(TableCursor& attempts, const Incarnation& incarnation,
                                          std::int64_t request, const DamageReporter& report_damage);

    Db db_;
    RowCodec codec_{db_};
    std::int64_t incarnation_row_ = 0;
    Statement insert_gap_;
    Statement insert_clock_step_;
    Statement update_last_commit_;
};

}  // namespace gatetiller::store
