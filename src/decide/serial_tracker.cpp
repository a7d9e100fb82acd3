#include "decide/serial_tracker.hpp"

namespace gatetiller::decide {
namespace {

// Older responses in a row, and the time over which they arrive, that show a restarted numbering.
constexpr int kRestartAnswers = 8;
constexpr Micros kRestartSpan = 2 * kSecondMicros;

// Compares by serial number arithmetic (RFC 1982).
bool is_newer(std::uint32_t serial, std::uint32_t than) {
    return static_cast<std::int32_t>(serial - than) > 0;
}

}  // namespace

bool SerialTracker::advances(std::uint32_t serial) const {
    return !accepted_ || is_newer(serial, *accepted_);
}

UpdateVerdict SerialTracker::classify(std::uint32_t serial, Micros requested_at, Micros now) {
    if (advances(serial))
        return UpdateVerdict::newer;
    if (serial == *accepted_) {
        older_answers_ = 0;
        return UpdateVerdict::current;
    }
    if (requested_at < accepted_at_ || !follows_restarts_)
        return UpdateVerdict::outdated;
    if (older_answers_ == 0) {
        older_since_ = now;
        newest_older_ = serial;
    }
    ++older_answers_;
    if (is_newer(newest_older_, serial))
        return UpdateVerdict::older;
    newest_older_ = serial;
    const bool restarted = older_answers_ >= kRestartAnswers && now - older_since_ >= kRestartSpan;
    return restarted ? UpdateVerdict::restarted : UpdateVerdict::older;
}

void SerialTracker::accept(std::uint32_t serial, Micros now) {
    accepted_ = serial;
    accepted_at_ = now;
    older_answers_ = 0;
}

}  // namespace gatetiller::decide
