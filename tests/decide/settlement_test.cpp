// Repeats of keyed requests, over seeds.
#include "decide/settlement.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

// A clock that steps back at a month's end: the repeat is recognised by the times as they were read,
// whichever front took it first.
TEST(RepeatDetector, AreThoseWithinTheWindowOfTheFirst) {
    const auto row = [](std::uint32_t number, Micros taken, const char* key, const char* tenant = "t") {
        RequestRow r;
        r.number = number, r.received_at = taken, r.key = key, r.key_window = 10;
        r.requester = std::make_shared<const Requester>(Requester{"u", "s", "", "c", tenant});
        return r;
    };
    RepeatDetector repeats;
    repeats.add(row(1, 100, "k"), 1);
    repeats.add(row(1, 95, "k"), 0);   // another front, whose clock is behind
    repeats.add(row(2, 106, "k"), 1);  // after the first one's window: a first again
    repeats.add(row(3, 100, "k", "other"), 1);
    repeats.add(row(4, 100, "l"), 1);
    repeats.add(row(5, 101, ""), 1);
    repeats.finish();
    EXPECT_FALSE(repeats.is_repeat(0, 1));
    EXPECT_TRUE(repeats.is_repeat(1, 1));
    for (const std::uint32_t n : {2u, 3u, 4u, 5u})
        EXPECT_FALSE(repeats.is_repeat(1, n)) << n;
}

}  // namespace
}  // namespace gatetiller::decide
