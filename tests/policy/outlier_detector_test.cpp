// Ejection and its doubling durations, and what the outcome of an attempt implies for its endpoint.
#include "policy/outlier_detector.hpp"

#include <gtest/gtest.h>

using namespace gatetiller;
using namespace gatetiller::policy;

TEST(OutlierDetector, EjectsAfterTwoConsecutiveFailuresAndDoublesTheTime) {
    EndpointHealth health;
    health.add_error(1'000'000);
    EXPECT_TRUE(health.accepts(1'000'000, true));
    EXPECT_FALSE(health.accepts(1'000'000, false));  // suspected: one request at a time
    health.add_error(1'000'000);
    EXPECT_FALSE(health.accepts(1'499'999, true));
    EXPECT_TRUE(health.accepts(1'500'000, true));
    health.eject(1'500'000);
    EXPECT_FALSE(health.accepts(2'499'999, true));
    EXPECT_TRUE(health.accepts(2'500'000, true));
}

TEST(OutlierDetector, WithdrawnErrorLeavesEndpointUnsuspected) {
    EndpointHealth health;
    health.withdraw_error(health.add_error(0));
    EXPECT_FALSE(health.suspected());
}

TEST(OutlierDetector, RejectionPausesOneClassOrAll) {
    EndpointHealth health;
    health.pause_class(1, 0);
    EXPECT_TRUE(health.pauses(1, 999'999));
    EXPECT_FALSE(health.pauses(1, 1'000'000));
    EXPECT_FALSE(health.pauses(0, 0));
    health.pause_all(0);
    EXPECT_TRUE(health.pauses(0, 999'999));
}

TEST(OutlierDetector, TimeoutCountsOnlyWithoutEndpointActivity) {
    EXPECT_EQ(evaluate_health({AttemptOutcome::timed_out, 10, 9}), HealthVerdict::unreachable);
    EXPECT_EQ(evaluate_health({AttemptOutcome::timed_out, 10, 10}), HealthVerdict::none);
    EXPECT_EQ(evaluate_health({AttemptOutcome::connection_reset, 10, 20}), HealthVerdict::unreachable);
    EXPECT_EQ(evaluate_health({AttemptOutcome::cancelled, 10, 9}), HealthVerdict::none);
    EXPECT_EQ(evaluate_health({AttemptOutcome::rejected, 10, 9}), HealthVerdict::overloaded);
}

TEST(OutlierDetector, SilenceIsMeasuredFromLastActivityOrGatewayStall) {
    SilenceInput input;
    input.progress_period = 1'000'000;
    input.last_active_at = 1'000'000;
    input.now = 2'599'999;
    EXPECT_FALSE(is_silent(input));
    input.now = 2'600'000;
    EXPECT_TRUE(is_silent(input));
    input.gateway_resumed_at = 1'000'001;
    EXPECT_FALSE(is_silent(input));
}
