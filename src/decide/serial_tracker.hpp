// The numbers of a name service's lists: which answer is newer than what is held, and when the numbering
// itself has started anew. Numbers are serials (RFC 1982): they wrap, and only their distance tells which is
// newer.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace gatetiller::decide {

// What an answer with some number is to the list held.
enum class UpdateVerdict {
    newer,
    current,    // the number held, again
    older,      // asked for after the list held had come, and yet it counts less far
    outdated,   // asked for before that: it says nothing of now
    restarted,  // answers have counted less far for so long that the numbering has started anew: it is the
                // newest
};

class SerialTracker {
public:
    // `follows_restarts`: false only under fault injection, where a restarted numbering is never adopted.
    explicit SerialTracker(bool follows_restarts = true) : follows_restarts_(follows_restarts) {}
    // An answer that came at `now` to a question of `asked`.
    UpdateVerdict classify(std::uint32_t number, Micros asked, Micros now);
    bool advances(std::uint32_t number) const;  // than what is held, by its number alone
    void accept(std::uint32_t number, Micros now);
    std::uint32_t current() const {
        return held_.value_or(0);
    }

private:
    bool follows_restarts_;
    std::optional<std::uint32_t> held_;
    Micros held_since_ = 0;
    int older_answers_ = 0;   // in a row, none of the number held or above between them
    Micros older_since_ = 0;  // the first of them
    std::uint32_t newest_older_ =
        0;  // the newest of them: where the numbering has started anew, what is older than that is old
};

}  // namespace gatetiller::decide
