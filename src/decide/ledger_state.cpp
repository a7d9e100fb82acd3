#include "decide/ledger_state.hpp"

#include <algorithm>

namespace gatetiller::decide {

const char* name_of(StoreError error) {
    static constexpr const char* kNames[] = {
        "none",      "disk full", "read-only", "corrupt", "kept by another process",
        "no access", "I/O error", "lagging",   "killed",  "not a ledger"};
    return kNames[static_cast<int>(error)];
}

LedgerGap gap_after_kill(Micros last_commit, Micros next_start, Micros tail) {
    static constexpr Micros kUnknownStepMargin = 10 * kSecondMicros;
    LedgerGap g{StoreError::killed, last_commit, std::max(next_start, last_commit + tail), -1, -1};
    if (next_start < last_commit)
        g.from = next_start - kUnknownStepMargin;
    return g;
}

void LedgerIntake::record_loss(Micros wall, bool request) {
    ++lost_rows_;
    if (!gap_)
        gap_ = LedgerGap{StoreError::lagging, wall, wall, 0, 0};
    gap_->from = std::min(gap_->from, wall), gap_->to = std::max(gap_->to, wall);
    (request ? gap_->requests : gap_->updates) += 1;
}

bool LedgerIntake::admit(std::size_t waiting, Micros wall) {
    if (static_cast<double>(waiting) <
        limits_.new_request_share * static_cast<double>(limits_.max_queued_rows))
        return true;
    record_loss(wall, true);
    return false;
}

bool LedgerIntake::admit_update(std::size_t waiting, Micros wall) {
    if (waiting < limits_.max_queued_rows)
        return true;
    record_loss(wall, false);
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
        if (error_ == StoreError::corrupt && now >= retry_at_)
            return Step::quarantine;
        return now >= retry_at_ ? Step::open : Step::wait;
    }
    if (now < retry_at_)
        return Step::wait;
    return open_ ? Step::write : Step::open;
}

void LedgerState::on_opened() {
    open_ = true;
}

void LedgerState::on_written() {
    error_ = StoreError::none;
    retry_delay_ = limits_.retry_delay;
    retry_at_ = logged_at_ = 0;
}

bool LedgerState::on_failed(StoreError error, Micros now) {
    const bool should_log = error != error_ || now - logged_at_ >= limits_.log_interval;
    error_ = error;
    // The file is reopened, as it may have been replaced. A full disk does not require it.
    if (error != StoreError::full)
        open_ = false;
    retry_at_ = now + retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, limits_.max_retry_delay);
    if (should_log)
        logged_at_ = now;
    return should_log;
}

void LedgerState::on_quarantined() {
    error_ = StoreError::io;  // until a batch is written to a new file
    open_ = false, retry_at_ = 0;
}

std::optional<Micros> ClockStepDetector::detect(Micros now, Micros wall) {
    const Micros offset = wall - now;
    const auto previous = offset_;
    offset_ = offset;
    if (!previous || std::abs(offset - *previous) < kMinStep)
        return std::nullopt;
    return offset - *previous;
}

}  // namespace gatetiller::decide
