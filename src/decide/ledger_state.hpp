// State machines of a front's ledger while its store is slow or failing: which rows are still queued, when
// the store is retried, and the time that a gap covers. Without I/O: the caller reports events with their
// times, in microseconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace gatetiller::decide {

enum class StoreError : std::uint8_t {
    none,
    // No space on the disk.
    full,
    // The file or the disk is read-only.
    read_only,
    // The file is corrupt.
    corrupt,
    // Another process has locked the ledger.
    locked,
    // The file cannot be opened.
    no_access,
    // Reading or writing fails.
    io,
    // The store is too slow: the queue was full.
    lagging,
    // The front ended without closing the ledger; only as the cause of a gap.
    killed,
    // The file is not a ledger, or is one of a later version.
    foreign,
};
// The error's name in logs, in the status and in reports.
const char* name_of(StoreError error);

// A time interval for which the ledger is incomplete.
struct LedgerGap {
    StoreError cause = StoreError::none;
    // Wall clock, microseconds since 1970.
    Micros from = 0, to = 0;
    // Lost rows: of requests that were never written, and later rows of requests that were. -1: unknown.
    std::int64_t requests = 0, updates = 0;
};

// The interval in which requests of a killed incarnation may be missing: from its last commit (`last`) until
// the next incarnation's start (`began`), both by the wall clock. Where the clock was set back in between,
// the time of the step is unknown, and the interval is extended in both directions. `tail`: the longest time
// between the arrival of a row and its commit.
LedgerGap gap_after_kill(Micros last, Micros began, Micros tail);

struct LedgerLimits {
    // Rows in the queue and in the batch that is being written.
    std::size_t max_queued_rows = 200'000;
    // The share of max_queued_rows up to which new requests are accepted; the rest is reserved for the later
    // rows of accepted ones.
    double new_request_share = 0.75;
    // The delay before a retry, which doubles up to the maximum.
    Micros retry_delay = 250 * kMillisecond, max_retry_delay = 5 * kSecondMicros;
    // An error that persists is logged again after this interval.
    Micros log_interval = 60 * kSecondMicros;
};

// Used on the event loop: decides whether a row is queued. Rows that are not are counted, and reported as a
// gap once the store has recovered.
class LedgerIntake {
public:
    explicit LedgerIntake(LedgerLimits limits) : limits_(limits) {}
    // Whether the first row of a new request is queued, with `waiting` rows queued at the time `wall`. False:
    // the request is not in the ledger, and no later row of it may be offered.
    bool admit(std::size_t waiting, Micros wall);
    // Whether a later row of an admitted request is queued.
    bool admit_update(std::size_t waiting, Micros wall);
    // Returns and ends the gap, if there is one and the queue has shrunk to half of its limit. Precondition:
    // the store has written all rows that were admitted before. `cause`: replaces `lagging` unless it is
    // `none`.
    std::optional<LedgerGap> take_gap(std::size_t waiting, StoreError cause);
    // Whether rows were lost since the last gap was taken.
    bool has_gap() const {
        return gap_.has_value();
    }
    // The number of rows lost since the start.
    std::int64_t lost_rows() const {
        return lost_;
    }

private:
    void lose(Micros wall, bool request);
    LedgerLimits limits_;
    std::optional<LedgerGap> gap_;
    std::int64_t lost_ = 0;
};

// Used on the store's thread: decides what is done next.
class LedgerState {
public:
    enum class Step {
        // Open the file.
        open,
        // Write the next batch.
        write,
        // Wait until retry_at().
        wait,
        // Move the corrupt file away.
        quarantine
    };
    explicit LedgerState(LedgerLimits limits) : limits_(limits), pause_(limits.retry_delay) {}

    Step next_step(Micros now) const;
    void on_opened();
    // A batch was committed.
    void on_written();
    // Opening or writing failed. Returns whether the error is to be logged now.
    bool on_failed(StoreError error, Micros now);
    // The corrupt file was moved away.
    void on_quarantined();
    // The last error; `none` after a batch was committed.
    StoreError error() const {
        return error_;
    }
    bool healthy() const {
        return error_ == StoreError::none;
    }
    // When the store may be tried again.
    Micros retry_at() const {
        return again_at_;
    }

private:
    LedgerLimits limits_;
    bool open_ = false;
    StoreError error_ = StoreError::none;
    Micros pause_, again_at_ = 0, said_at_ = 0;
};

// Detects steps of the wall clock.
class ClockStepDetector {
public:
    // The step of the wall clock since the last call, in microseconds; nothing where it advanced like the
    // monotonic clock (`now`), within kNoticed.
    std::optional<Micros> detect(Micros now, Micros wall);

private:
    static constexpr Micros kNoticed = 200 * kMillisecond;
    std::optional<Micros> difference_;
};

}  // namespace gatetiller::decide
