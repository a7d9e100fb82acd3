#include "store/ledger_messages.hpp"

namespace gatetiller::store {

std::string clock_step_message(Micros step) {
    return "ledger: the wall clock stepped by " + std::to_string(step / kMillisecond) +
           " ms; recorded times are not adjusted";
}

std::string gap_message(const LedgerGap& gap) {
    return "ledger: gap: " + std::to_string(gap.requests) + " requests and " + std::to_string(gap.updates) +
           " updates of recorded requests were not written (" + name_of(gap.cause) + ")";
}

std::string recovered_message(const RecoveredState& recovered) {
    return "ledger: the previous incarnation was not shut down cleanly: " +
           std::to_string(recovered.requests_interrupted) + " requests and " +
           std::to_string(recovered.attempts_interrupted) + " attempts in flight are marked as interrupted";
}

std::string write_failed_message(const StoreFailure& failure, std::size_t queued_rows) {
    return std::string("ledger NOT WRITTEN (") + name_of(failure.error) + "): " + failure.text +
           "; statements are still served, " + std::to_string(queued_rows) + " rows are queued";
}

std::string write_resumed_message() {
    return "ledger: writing resumed";
}

std::string quarantined_message(const std::string& moved_to) {
    return "ledger: the damaged file is set aside as " + moved_to +
           "; writing continues in a new file; collect both files for the report";
}

std::string rows_lost_message(std::size_t rows) {
    return "ledger: " + std::to_string(rows) + " rows could not be written and are lost";
}

std::string expire_failed_message(const StoreFailure& failure) {
    return "ledger: expired rows could not be removed: " + failure.text;
}

std::string history_failed_message(const StoreFailure& failure) {
    return "ledger: the work history could not be read: " + failure.text;
}

std::string end_failed_message(const StoreFailure& failure) {
    return "ledger: " + failure.text;
}

}  // namespace gatetiller::store
