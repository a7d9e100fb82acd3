// Order of endpoint lists by their serial numbers, and detection of a restarted numbering.
//
// Serials compare by serial number arithmetic (RFC 1982): they wrap at 2^32, and a serial is newer where the
// signed 32-bit distance to it is positive. A name service that restarts may restart its numbering with
// serials that compare as older. A single older response is a common fault of a service, so a restart is
// assumed only after 8 older responses in a row over at least 2 s, without a response with the accepted
// serial in between, and only for a serial that is no older than the newest of them.
//
// Times are microseconds of one monotonic clock.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace gatetiller::decide {

// How a response relates to the accepted list.
enum class UpdateVerdict {
    // Its serial is newer, or no list was accepted yet.
    newer,
    // It has the accepted serial.
    current,
    // It was requested after the accepted list had arrived, and its serial is older.
    older,
    // Its serial is older, and it was requested before the accepted list had arrived: it may precede that
    // list.
    outdated,
    // Its serial is older, and the numbering has restarted: it is the newest list.
    restarted,
};

class SerialTracker {
public:
    // `follows_restarts`: false only under fault injection, where a restarted numbering is never adopted.
    explicit SerialTracker(bool follows_restarts = true) : follows_restarts_(follows_restarts) {}

    // Classifies a response with `serial` that was requested at `requested_at` and arrived at `now`, and
    // counts older responses. Does not accept the serial.
    UpdateVerdict classify(std::uint32_t serial, Micros requested_at, Micros now);
    // Whether `serial` is newer than the accepted one by its number alone; true where none was accepted.
    bool advances(std::uint32_t serial) const;
    // Makes `serial` the accepted one; its list arrived at `now`.
    void accept(std::uint32_t serial, Micros now);
    // The accepted serial; 0 where none was accepted.
    std::uint32_t current() const {
        return accepted_.value_or(0);
    }

private:
    bool follows_restarts_;
    std::optional<std::uint32_t> accepted_;
    Micros accepted_at_ = 0;
    // Older responses since the last one with the accepted serial: their number, the first one's arrival, and
    // the newest serial among them.
    int older_answers_ = 0;
    Micros older_since_ = 0;
    std::uint32_t newest_older_ = 0;
};

}  // namespace gatetiller::decide
