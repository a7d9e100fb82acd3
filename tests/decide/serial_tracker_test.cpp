// Serial numbers of endpoint lists: their order, and the detection of a restarted numbering.
#include "decide/serial_tracker.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(SerialTracker, OrdersBySerialNumberArithmetic) {
    SerialTracker tracker;
    EXPECT_TRUE(tracker.advances(0));
    tracker.accept(0xffffffff, kSecondMicros);
    EXPECT_TRUE(tracker.advances(0));
    EXPECT_TRUE(tracker.advances(0x7ffffffe));
    EXPECT_FALSE(tracker.advances(0xfffffffe));
    EXPECT_EQ(tracker.classify(0xffffffff, kSecondMicros, kSecondMicros), UpdateVerdict::current);
    EXPECT_EQ(tracker.classify(0xfffffffe, 0, kSecondMicros), UpdateVerdict::outdated);
    EXPECT_EQ(tracker.classify(0xfffffffe, kSecondMicros, kSecondMicros), UpdateVerdict::older);
}

TEST(SerialTracker, DetectsARestartAfterEightOlderResponsesOverTwoSeconds) {
    for (const Micros interval : {100 * kMillisecond, 250 * kMillisecond, kSecondMicros}) {
        SerialTracker tracker;
        Micros now = kSecondMicros;
        tracker.accept(100, now);
        for (int responses = 1; responses <= 40; ++responses) {
            now += interval;
            const bool expected = responses >= 8 && (responses - 1) * interval >= 2 * kSecondMicros;
            EXPECT_EQ(tracker.classify(5, now, now),
                      expected ? UpdateVerdict::restarted : UpdateVerdict::older)
                << interval << " " << responses;
            if (expected)
                break;
        }
    }
}

TEST(SerialTracker, FollowsNoRestartUnderFaultInjection) {
    SerialTracker tracker(false);
    Micros now = kSecondMicros;
    tracker.accept(100, now);
    for (int responses = 0; responses < 40; ++responses) {
        now += kSecondMicros;
        EXPECT_EQ(tracker.classify(5, now, now), UpdateVerdict::outdated);
    }
}

}  // namespace
}  // namespace gatetiller::decide
