// How a front keeps its ledger while its store is slow or broken: what is still written down, when the store
// is tried again, and which stretch of time a gap stands for. A small state machine with no I/O: whoever
// drives it says what happened, and when.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace gatetiller::decide {

enum class StoreError : std::uint8_t {
    none,
    full,       // no room on the disk
    read_only,  // the file or the disk may not be written
    corrupt,    // the file is damaged
    locked,     // another process keeps this ledger
    no_access,  // it can't be opened
    io,         // reading or writing fails
    lagging,    // the store is too slow: more came than may wait
    killed,     // the front ended without closing it (only in gaps)
    foreign,    // the file is not a ledger, or one of a later version
};
const char* name_of(StoreError error);

// A stretch of time in which the ledger is not whole.
struct LedgerGap {
    StoreError cause = StoreError::none;
    Micros from = 0, to = 0;                 // wall clock
    std::int64_t requests = 0, updates = 0;  // requests never written; ends of written ones lost. -1: unknown
};

// The stretch in which requests of a life that was not ended in order may be missing: from its last commit
// (`last`) to the start of the next life (`began`), both by the wall clock. Where the clock stepped back in
// between, nobody knows when: then it reaches further to both sides. `tail`: what a life may take in before
// it is committed.
LedgerGap gap_after_kill(Micros last, Micros began, Micros tail);

struct LedgerLimits {
    std::size_t max_queued_rows = 200'000;  // rows in the queue or in a batch that is being tried
    double new_request_share = 0.75;  // of it for new requests; the rest is for what written ones come to
    Micros retry_delay = 250 * kMillisecond, max_retry_delay = 5 * kSecondMicros;
    Micros log_interval = 60 * kSecondMicros;  // a trouble that stays is told again after so long
};

// On the loop's side: may this row wait? What may not is counted, and told as a gap once the store is well.
class LedgerIntake {
public:
    explicit LedgerIntake(LedgerLimits limits) : limits_(limits) {}
    // A new request. False: it is not in the ledger at all, and none of its rows may be offered.
    bool admit(std::size_t waiting, Micros wall);
    // A row of a request that was admitted.
    bool admit_update(std::size_t waiting, Micros wall);
    // The store has caught up with everything that was admitted before: what was lost until here is over.
    std::optional<LedgerGap> take_gap(std::size_t waiting, StoreError cause);
    bool has_gap() const {
        return gap_.has_value();
    }
    std::int64_t lost_rows() const {
        return lost_;
    }  // rows in all

private:
    void lose(Micros wall, bool request);
    LedgerLimits limits_;
    std::optional<LedgerGap> gap_;
    std::int64_t lost_ = 0;
};

// On the store's side: what to do next.
class LedgerState {
public:
    enum class Step {
        open,
        write,
        wait,
        quarantine
    };
    explicit LedgerState(LedgerLimits limits) : limits_(limits), pause_(limits.retry_delay) {}

    Step next_step(Micros now) const;
    void on_opened();
    void on_written();  // a batch was committed
    // Opening or writing failed. True: to be said aloud now.
    bool on_failed(StoreError error, Micros now);
    void on_quarantined();  // the damaged file is out of the way
    // Whether rows that failed with this trouble are worth keeping for another try: always, except where the
    // rows themselves can't be written.
    StoreError error() const {
        return error_;
    }
    bool healthy() const {
        return error_ == StoreError::none;
    }
    Micros retry_at() const {
        return again_at_;
    }

private:
    LedgerLimits limits_;
    bool open_ = false;
    StoreError error_ = StoreError::none;
    Micros pause_, again_at_ = 0, said_at_ = 0;
};

// Tells a step of the wall clock from the passing of time.
class ClockStepDetector {
public:
    // How far the wall clock stepped since the last look; nothing where it went along.
    std::optional<Micros> detect(Micros now, Micros wall);

private:
    static constexpr Micros kNoticed = 200 * kMillisecond;
    std::optional<Micros> difference_;
};

}  // namespace gatetiller::decide
