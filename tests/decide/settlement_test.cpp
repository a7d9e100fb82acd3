// Detection of repeated requests with idempotency keys.
#include "decide/settlement.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

// After a front's clock was set back, as at the end of a month, the repeat is detected by the recorded times,
// whichever front received it first.
TEST(RepeatDetector, AreThoseWithinTheWindowOfTheFirst) {
    const auto row = [](std::uint32_t number, Micros taken, const char* key, const char* tenant = "t") {
        RequestRow r;
        r.number = number, r.received_at = taken, r.key = key, r.key_window = 10;
        r.requester = std::make_shared<const Requester>(Requester{"u", "s", "", "c", tenant});
        return r;
    };
    RepeatDetector repeats;
    repeats.add(row(1, 100, "k"), 1);
    repeats.add(row(1, 95, "k"), 0);   // another front, whose clock lags behind
    repeats.add(row(2, 106, "k"), 1);  // after the first one's window: starts a new window
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
