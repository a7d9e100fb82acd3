#include "decide/ledger_state.hpp"

#include <algorithm>

namespace gatetiller::decide {

const char* name_of(StoreError t) {
    static constexpr const char* kNames[] = {
        "none",      "disk full", "read-only", "corrupt", "kept by another process",
        "no access", "I/O error", "lagging",   "killed",  "not a ledger"};
    return kNames[static_cast<int>(t)];
}

LedgerGap gap_after_kill(Micros last, Micros began, Micros tail) {
    static constexpr Micros kUnsure = 10 * kSecondMicros;
    LedgerGap g{StoreError::killed, last, std::max(began, last + tail), -1, -1};
    if (began < last)
        g.from = began - kUnsure;
    return g;
}

void LedgerIntake::lose(Micros wall, bool request) {
    ++lost_;
    if (!gap_)
        gap_ = LedgerGap{StoreError::lagging, wall, wall, 0, 0};
    gap_->from = std::min(gap_->from, wall), gap_->to = std::max(gap_->to, wall);
    (request ? gap_->requests : gap_->updates) += 1;
}

bool LedgerIntake::admit(std::size_t waiting, Micros wall) {
    if (static_cast<double>(waiting) <
        limits_.new_request_share * static_cast<double>(limits_.max_queued_rows))
        return true;
    lose(wall, true);
    return false;
}

bool LedgerIntake::admit_update(std::size_t waiting, Micros wall) {
    if (waiting < limits_.max_queued_rows)
        return true;
    lose(wall, false);
    return false;
}

std::optional<LedgerGap> LedgerIntake::take_gap(std::size_t waiting, StoreError cause) {
    // While the queue is still long, more rows may be lost at any moment; they belong to the same gap.
    if (!gap_ || waiting > limits_.max_queued_rows / 2)
        return std::nullopt;
    LedgerGap g = *gap_;
    gap_.reset();
    if (cause != StoreError::none)
        g.cause = cause;
    return g;
}

LedgerState::Step LedgerState::next_step(Micros now) const {
    if (error_ == StoreError::corrupt || error_ == StoreError::foreign) {
        // Only a corrupt ledger is moved away, never a foreign file.
        if (error_ == StoreError::corrupt && now >= again_at_)
            return Step::quarantine;
        return now >= again_at_ ? Step::open : Step::wait;
    }
    if (now < again_at_)
        return Step::wait;
    return open_ ? Step::write : Step::open;
}

void LedgerState::on_opened() {
    open_ = true;
}

void LedgerState::on_written() {
    error_ = StoreError::none;
    pause_ = limits_.retry_delay;
    again_at_ = said_at_ = 0;
}

bool LedgerState::on_failed(StoreError error, Micros now) {
    const bool aloud = error != error_ || now - said_at_ >= limits_.log_interval;
    error_ = error;
    // The file is reopened, as it may have been replaced. A full disk does not require it.
    if (error != StoreError::full)
        open_ = false;
    again_at_ = now + pause_;
    pause_ = std::min(pause_ * 2, limits_.max_retry_delay);
    if (aloud)
        said_at_ = now;
    return aloud;
}

void LedgerState::on_quarantined() {
    error_ = StoreError::io;  // until a batch is written to a new file
    open_ = false, again_at_ = 0;
}

std::optional<Micros> ClockStepDetector::detect(Micros now, Micros wall) {
    const Micros difference = wall - now;
    const auto before = difference_;
    difference_ = difference;
    if (!before || std::abs(difference - *before) < kNoticed)
        return std::nullopt;
    return difference - *before;
}

}  // namespace gatetiller::decide
