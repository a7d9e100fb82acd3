// Keeps a front's ledger without holding up the front's event loop.
//
// Two sides. The loop's side queues rows, which costs a copy, and hands them over at each poll(). The store's
// side writes what was handed over, a batch at a time, on a thread of its own, or within poll() where no
// thread was started (tests, virtual time). The store's side reads no clock: time comes with poll().
//
// Bounds: no more than `limits.max_queued_rows` rows wait. A row that doesn't fit is counted, and stands in
// the ledger as a gap once the store writes again. A row is handed over within `flush_interval`; a killed
// front loses what was not committed by then, and its next incarnation records that time as a gap.
//
// Errors never reach the caller: they are counted in status(), and poll() returns their texts for the log.
#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "store/file_lock.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

struct LedgerWriterSettings {
    std::string file;
    std::string front;
    std::string incarnation;  // 16 hex digits that no other incarnation has
    Micros flush_interval = 100 * kMillisecond;
    Micros retention = 0;  // span after which closed requests are removed; 0: never
    decide::LedgerLimits limits{};
    std::string vfs{};          // SQLite's file layer; empty: the system's
    Micros history_window = 0;  // span of earlier work that is read back at the start; 0: none
};

struct LedgerWriterStatus {
    decide::StoreError error = decide::StoreError::none;
    std::size_t queued_rows = 0;
    std::int64_t lost_rows = 0;
    std::int64_t committed_rows = 0;
    std::int64_t batches = 0;
    Micros written_until = 0;  // wall clock
};

class LedgerWriter {
public:
    explicit LedgerWriter(LedgerWriterSettings settings);
    // Stops as a kill would: what is queued is not written. See finish().
    ~LedgerWriter();
    LedgerWriter(const LedgerWriter&) = delete;
    LedgerWriter& operator=(const LedgerWriter&) = delete;

    const std::string& incarnation() const {
        return settings_.incarnation;
    }
    Micros flush_interval() const {
        return settings_.flush_interval;
    }

    // Position in the queue of the last row of a request or an attempt. Until that row is handed over, a
    // newer row replaces it, so that what begins and ends within one flush is one row.
    struct QueueSlot {
        std::uint64_t flush = 0;
        std::size_t index = 0;
    };
    // Queues a new request and sets its number. False: the queue is full, the request will not be in the
    // ledger, and no row of it may be given to update(). `wall`: now, by the wall clock.
    bool add_request(RequestRow& row, Micros wall, QueueSlot& slot);
    // Queues the next state of a request that was added, or of an attempt of it.
    void update(RequestRow row, Micros wall, QueueSlot& slot);
    void update(AttemptRow row, Micros wall, QueueSlot& slot);
    // The same as rows of their own, for callers that keep no slot.
    bool add_request(RequestRow& row, Micros wall) {
        QueueSlot unused;
        return add_request(row, wall, unused);
    }
    template <typename Row>
    void update(Row row, Micros wall) {
        QueueSlot unused;
        update(std::move(row), wall, unused);
    }

    // Hands over what is queued; to be called each `flush_interval`. `now` is monotonic. Returns lines for
    // the log.
    std::vector<std::string> poll(Micros now, Micros wall);
    LedgerWriterStatus status() const;

    // The work of earlier incarnations within `history_window`, once, as soon as the ledger is open; empty
    // before and after.
    std::vector<Ledger::WorkSample> take_work_history();

    struct PreviousIncarnation {
        bool known = false;  // false: the ledger is not open yet
        // Until when (wall clock) the incarnation before had written, where it was killed.
        std::optional<Micros> last_commit_before_kill;
    };
    PreviousIncarnation previous_incarnation() const;

    // Starts the thread of the store's side.
    void start_thread();
    // Writes what is queued, marks the incarnation as ended, and closes and unlocks the file. A failing store
    // gets one more try. Returns lines for the log, with what could not be written.
    std::vector<std::string> finish(Micros now, Micros wall);

private:
    // The loop's side
    template <typename Row>
    void enqueue(Row row, Micros wall, QueueSlot& slot);
    void hand_over(Micros now, Micros wall);
    void stop_thread();

    // The store's side
    void run_thread();
    void write_pending(Micros now);
    bool prepare_to_write(Micros now);
    void on_committed(Micros now);
    void expire_old_requests();
    StoreFailure open();
    void read_work_history();
    void on_failure(StoreFailure failure, Micros now);
    void quarantine_file(Micros now);
    void log(std::string line);

    LedgerWriterSettings settings_;

    // The loop's side alone
    decide::LedgerIntake intake_;
    decide::ClockStepDetector clock_;
    std::vector<std::variant<RequestRow, AttemptRow>> queue_;
    std::uint32_t last_number_ = 0;
    std::uint64_t flush_ = 1;

    // Both sides, under the mutex
    mutable std::mutex mutex_;
    std::condition_variable handed_over_;
    Batch shared_;
    Micros shared_now_ = 0;
    std::vector<std::string> log_lines_;
    std::vector<Ledger::WorkSample> work_history_;
    PreviousIncarnation previous_;
    bool batch_waits_ = false;
    bool stop_ = false;
    decide::StoreError error_ = decide::StoreError::none;
    decide::StoreError last_error_ = decide::StoreError::none;
    std::int64_t committed_rows_ = 0;
    std::int64_t batches_ = 0;
    Micros written_until_ = 0;

    // Rows in shared_ and pending_
    std::atomic<std::size_t> handed_over_rows_ = 0;

    // The store's side alone
    decide::LedgerState state_;
    FileLock lock_;
    Ledger ledger_;
    Batch pending_;
    Micros last_write_ = 0;
    int quarantined_files_ = 0;
    bool history_read_ = false;
    std::thread thread_;
};

}  // namespace gatetiller::store
