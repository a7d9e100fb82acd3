#include "decide/serial_tracker.hpp"

namespace gatetiller::decide {
namespace {

// Single answers with an older list are a common fault of name services; so many in a row, for so long, are
// not.
constexpr int kRestartAnswers = 8;
constexpr Micros kRestartSpan = 2 * kSecondMicros;

// By serial number arithmetic (RFC 1982).
bool is_newer(std::uint32_t number, std::uint32_t than) {
    return static_cast<std::int32_t>(number - than) > 0;
}

}  // namespace

bool SerialTracker::advances(std::uint32_t number) const {
    return !held_ || is_newer(number, *held_);
}

UpdateVerdict SerialTracker::classify(std::uint32_t number, Micros asked, Micros now) {
    if (advances(number))
        return UpdateVerdict::newer;
    if (number == *held_) {
        older_answers_ = 0;
        return UpdateVerdict::current;
    }
    if (asked < held_since_ || !follows_restarts_)
        return UpdateVerdict::outdated;
    if (older_answers_++ == 0)
        older_since_ = now, newest_older_ = number;
    if (is_newer(newest_older_, number))
        return UpdateVerdict::older;
    newest_older_ = number;
    const bool restarted = older_answers_ >= kRestartAnswers && now - older_since_ >= kRestartSpan;
    return restarted ? UpdateVerdict::restarted : UpdateVerdict::older;
}

void SerialTracker::accept(std::uint32_t number, Micros now) {
    held_ = number, held_since_ = now;
    older_answers_ = 0;
}

}  // namespace gatetiller::decide
