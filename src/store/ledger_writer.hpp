// Writes a front's ledger without blocking the front's event loop.
//
// The event loop queues rows, at the cost of a copy, and hands them over at each poll(). The writer writes
// the rows handed over, one batch at a time, on its own thread, or within poll() if no thread was started
// (tests, virtual time). The writer reads no clock: poll() passes the time.
//
// Bounds: at most `limits.max_queued_rows` rows are queued. Rows that don't fit are counted and recorded in
// the ledger as a gap once it can be written again. A row is handed over within `flush_interval`; a killed
// front loses uncommitted rows, and its next incarnation records that interval as a gap.
//
// Errors are not returned to the caller: status() shows them, and poll() returns messages for the log.
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
    std::string incarnation;  // 16 hex digits, unique to this incarnation
    Micros flush_interval = 100 * kMillisecond;
    Micros retention = 0;  // age at which closed requests are removed; 0: never
    decide::LedgerLimits limits{};
    std::string vfs{};          // name of an SQLite VFS; empty: the default one
    Micros history_window = 0;  // duration of work history read at the start; 0: none
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
    // Stops without writing queued rows, as a kill would. See finish().
    ~LedgerWriter();
    LedgerWriter(const LedgerWriter&) = delete;
    LedgerWriter& operator=(const LedgerWriter&) = delete;

    const std::string& incarnation() const {
        return settings_.incarnation;
    }
    Micros flush_interval() const {
        return settings_.flush_interval;
    }

    // Position in the queue of the last row of a request or an attempt. A newer row replaces it until it is
    // handed over, so that a request that begins and ends within one flush interval is written once.
    struct QueueSlot {
        std::uint64_t flush = 0;
        std::size_t index = 0;
    };
    // Queues a new request and sets its number. Returns false if the queue is full: the request will not be
    // in the ledger, and update() must not be called for it. `wall_now`: current time of the wall clock.
    bool add_request(RequestRow& row, Micros wall_now, QueueSlot& slot);
    // Queues the next state of an added request, or of one of its attempts.
    void update(RequestRow row, Micros wall_now, QueueSlot& slot);
    void update(AttemptRow row, Micros wall_now, QueueSlot& slot);
    // Overloads for callers that keep no slot: each call queues a separate row.
    bool add_request(RequestRow& row, Micros wall_now) {
        QueueSlot unused;
        return add_request(row, wall_now, unused);
    }
    template <typename Row>
    void update(Row row, Micros wall_now) {
        QueueSlot unused;
        update(std::move(row), wall_now, unused);
    }

    // Hands the queued rows to the writer; called every `flush_interval`. `now` is monotonic time. Returns
    // lines for the log.
    std::vector<std::string> poll(Micros now, Micros wall_now);
    LedgerWriterStatus status() const;

    // Returns the work of earlier incarnations within `history_window` once, after the ledger was opened;
    // empty before and afterwards.
    std::vector<Ledger::WorkSample> take_work_history();

    struct PreviousIncarnation {
        bool known = false;  // false: the ledger has not been opened yet
        // Wall-clock time of the last commit of the previous incarnation, if that was killed.
        std::optional<Micros> last_commit_before_kill;
    };
    PreviousIncarnation previous_incarnation() const;

    // Starts the writer thread.
    void start_thread();
    // Writes the queued rows, marks the incarnation as ended, and closes and unlocks the file. A failing
    // ledger gets one more attempt. Returns lines for the log, including the number of rows that were lost.
    std::vector<std::string> finish(Micros now, Micros wall_now);

private:
    // Event loop
    template <typename Row>
    void enqueue(Row row, Micros wall_now, QueueSlot& slot);
    void hand_over(Micros now, Micros wall_now);
    void stop_thread();

    // Writer
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

    // Event loop only
    decide::LedgerIntake intake_;
    decide::ClockStepDetector clock_step_detector_;
    std::vector<std::variant<RequestRow, AttemptRow>> queue_;
    std::uint32_t last_number_ = 0;
    std::uint64_t flush_ = 1;

    // Shared, guarded by mutex_
    mutable std::mutex mutex_;
    std::condition_variable batch_ready_;
    Batch handed_over_batch_;
    Micros handed_over_at_ = 0;
    std::vector<std::string> log_lines_;
    std::vector<Ledger::WorkSample> work_history_;
    PreviousIncarnation previous_incarnation_;
    bool batch_pending_ = false;
    bool stop_requested_ = false;
    decide::StoreError error_ = decide::StoreError::none;
    decide::StoreError last_error_ = decide::StoreError::none;
    std::int64_t committed_rows_ = 0;
    std::int64_t batches_ = 0;
    Micros written_until_ = 0;

    // Number of rows in handed_over_batch_ and pending_
    std::atomic<std::size_t> handed_over_rows_ = 0;

    // Writer only
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
