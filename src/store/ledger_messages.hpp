// Log messages of LedgerWriter for operators, quoted in `docs/operators/charge-back.md`.
#pragma once

#include <cstddef>
#include <string>

#include "store/ledger.hpp"

namespace gatetiller::store {

// `step`: size of the step of the wall clock.
std::string clock_step_message(Micros step);
std::string gap_message(const LedgerGap& gap);
// Logged after recovery from an incarnation that was killed.
std::string recovered_message(const RecoveredState& recovered);
std::string write_failed_message(const StoreFailure& failure, std::size_t queued_rows);
std::string write_resumed_message();
std::string quarantined_message(const std::string& moved_to);
std::string rows_lost_message(std::size_t rows);  // logged by finish()
std::string expire_failed_message(const StoreFailure& failure);
std::string history_failed_message(const StoreFailure& failure);
std::string end_failed_message(const StoreFailure& failure);

}  // namespace gatetiller::store
