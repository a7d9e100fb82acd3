// Keeps a front's ledger without holding up its loop. The loop's side offers rows, which cost a copy, and
// looks in at its pace; the store's side writes what was handed over, a batch at a time, on a thread of its
// own, or within look() where no thread was started (tests, virtual time). Time comes from the loop alone.
//
// Bounded: more than `limits.waiting` rows never wait. What doesn't fit is counted and stands in the ledger
// as a gap once the store is well. Lag: a row is handed over within `flush_interval`; a killed front loses
// what had not been committed by then, and its next life writes down the stretch in which that may have
// happened.
#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "store/ledger.hpp"

namespace gatetiller::store {

struct LedgerWriterSettings {
    std::string file, front;
    std::string incarnation;  // 16 hex digits that nobody has had before
    Micros flush_interval = 100 * kMillisecond;
    Micros retention = 0;  // closed requests are removed after so long; 0: never
    decide::LedgerLimits limits{};
    std::string vfs{};
    Micros history_window = 0;  // so much of earlier lives' work is read back at the start; 0: none
};

struct LedgerWriterStatus {
    decide::StoreError error = decide::StoreError::none;
    std::size_t queued_rows = 0;
    std::int64_t lost_rows = 0, committed_rows = 0, batches = 0;
    Micros written_until = 0;  // wall clock
};

class LedgerWriter {
public:
    explicit LedgerWriter(LedgerWriterSettings settings);
    ~LedgerWriter();  // as a kill: what waits is not written
    LedgerWriter(const LedgerWriter&) = delete;
    LedgerWriter& operator=(const LedgerWriter&) = delete;

    // ---- The loop's side
    const std::string& incarnation() const {
        return settings_.incarnation;
    }
    Micros flush_interval() const {
        return settings_.flush_interval;
    }
    // Where the last row of a request or an attempt was put. As long as it waits there, the next one takes
    // its place: what begins and ends within a flush is one row, and costs no room.
    struct QueueSlot {
        std::uint64_t flush = 0;
        std::size_t index = 0;
    };
    // The request's number is set. False: the ledger is full up, and this request will not be in it.
    bool add_request(RequestRow& row, Micros wall, QueueSlot& place);
    void update(RequestRow row, Micros wall, QueueSlot& place);
    void update(AttemptRow row, Micros wall, QueueSlot& place);
    // The same as rows of their own, for those who keep no place.
    bool add_request(RequestRow& row, Micros wall) {
        QueueSlot none;
        return add_request(row, wall, none);
    }
    template <typename Row>
    void update(Row row, Micros wall) {
        QueueSlot none;
        update(std::move(row), wall, none);
    }
    // Hands over what waits. What an operator should read comes back, a text each.
    std::vector<std::string> poll(Micros now, Micros wall);
    LedgerWriterStatus status() const;
    // What was read back, once, as soon as the ledger is open.
    std::vector<Ledger::WorkSample> take_work_history();
    // Once the ledger is open: until when (wall clock) the life before had written, where it was killed.
    struct PreviousIncarnation {
        bool known = false;
        std::optional<Micros> killed_from;
    };
    PreviousIncarnation previous_incarnation() const;
    void start_thread();
    // Writes what waits, marks the life as ended in order, lets go of the file. What could not be written is
    // told.
    std::vector<std::string> finish(Micros now, Micros wall);

private:
    template <typename Row>
    void put(Row row, Micros wall, QueueSlot& place);
    void turn(Micros now);  // the store's side, one go
    StoreFailure open();
    void quarantine(Micros now);
    void failed(const StoreFailure& f, Micros now);
    void say(std::string text);
    void serve();  // the thread

    LedgerWriterSettings settings_;
    // The loop's side alone
    decide::LedgerIntake intake_;
    decide::ClockStepDetector clock_;
    std::vector<std::variant<RequestRow, AttemptRow>> queue_;
    std::uint32_t last_number_ = 0;
    std::uint64_t flush_ = 1;

    mutable std::mutex mutex_;
    std::condition_variable handed_over_;
    Batch shared_;  // under the mutex, as all until here
    Micros shared_now_ = 0;
    std::vector<std::string> words_;
    std::vector<Ledger::WorkSample> past_;
    PreviousIncarnation previous_;
    bool work_ = false, stop_ = false;
    decide::StoreError trouble_ = decide::StoreError::none, last_trouble_ = decide::StoreError::none;
    std::int64_t committed_ = 0, batches_ = 0;
    Micros written_until_ = 0;
    std::atomic<std::size_t> in_hand_ = 0;  // rows that the store's side holds, with those in shared_

    // The store's side alone
    decide::LedgerState keeper_;
    FileLock lock_;
    Ledger ledger_;
    Batch pending_;
    Micros touched_ = 0;
    int aside_ = 0;
    bool past_read_ = false;
    std::thread thread_;
};

}  // namespace gatetiller::store
