#include "store/ledger_messages.hpp"

namespace gatetiller::store {

std::string clock_step_message(Micros by) {
    return "ledger: the wall clock stepped by " + std::to_string(by / kMillisecond) +
           " ms; times before and after stand as they were read";
}

std::string gap_message(const LedgerGap& gap) {
    return "ledger: a gap: " + std::to_string(gap.requests) + " requests were not written, and " +
           std::to_string(gap.updates) + " updates of written ones (" + name_of(gap.cause) + ")";
}

std::string recovered_message(const RecoveredState& recovered) {
    return "ledger: the life before was not ended in order: " +
           std::to_string(recovered.requests_interrupted) + " requests and " +
           std::to_string(recovered.attempts_interrupted) + " attempts in hand are marked as interrupted";
}

std::string write_failed_message(const StoreFailure& failure, std::size_t queued_rows) {
    return std::string("ledger NOT WRITTEN (") + name_of(failure.error) + "): " + failure.text +
           "; statements go on, " + std::to_string(queued_rows) + " rows wait";
}

std::string write_resumed_message() {
    return "ledger: written again";
}

std::string quarantined_message(const std::string& moved_to) {
    return "ledger: the damaged file is set aside as " + moved_to +
           ", a new one begins; give both to the report";
}

std::string rows_lost_message(std::size_t rows) {
    return "ledger: " + std::to_string(rows) + " rows could not be written and are lost";
}

std::string expire_failed_message(const StoreFailure& failure) {
    return "ledger: old rows could not be removed: " + failure.text;
}

std::string history_failed_message(const StoreFailure& failure) {
    return "ledger: the work of the past could not be read back: " + failure.text;
}

std::string end_failed_message(const StoreFailure& failure) {
    return "ledger: " + failure.text;
}

}  // namespace gatetiller::store
