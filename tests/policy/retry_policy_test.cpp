// Whether a request may get another attempt, with each verdict once, and how requests may end.
#include "policy/retry_policy.hpp"

#include <gtest/gtest.h>

using namespace gatetiller;
using namespace gatetiller::policy;

namespace {

// A request with one completed attempt that was dispatched at 100. Its deadline is 1000.
class RetryPolicy : public ::testing::Test {
protected:
    RetryPolicy() {
        settings_.classes.resize(1);
        settings_.classes[0].idempotency = Idempotency::idempotent;
        settings_.classes[0].key_window = 300;
        settings_.max_attempts = 2;
        request_.deadline_at = 1'000;
        request_.attempts.resize(1);
        request_.attempts[0].open = false;
        request_.first_executed_endpoint = 0;
        request_.first_executed_at = 100;
    }
    AttemptVerdict check(Micros now) const {
        return check_attempt({settings_, budget_, request_, now});
    }
    Idempotency& idempotency() {
        return settings_.classes[0].idempotency;
    }

    PolicySettings settings_;
    RetryBudget budget_;
    ActiveRequest request_;
};

}  // namespace

TEST_F(RetryPolicy, AllowsIdempotentRetryBeforeDeadline) {
    EXPECT_EQ(check(999), AttemptVerdict::allowed);
    EXPECT_EQ(check(1'000), AttemptVerdict::deadline_passed);
}

TEST_F(RetryPolicy, DeniesRetryIfOpenExhaustedStartedOrFinished) {
    request_.attempts[0].open = true;
    EXPECT_EQ(check(500), AttemptVerdict::attempt_open);
    request_.attempts[0].open = false;
    request_.attempts.push_back(request_.attempts[0]);
    EXPECT_EQ(check(500), AttemptVerdict::attempts_exhausted);
    request_.response_started = true;
    EXPECT_EQ(check(500), AttemptVerdict::request_finished);
    request_.response_started = false;
    request_.finished = true;
    EXPECT_EQ(check(500), AttemptVerdict::request_finished);
}

TEST_F(RetryPolicy, NeverRetriesNonIdempotentThatMayHaveExecuted) {
    idempotency() = Idempotency::non_idempotent;
    EXPECT_EQ(check(500), AttemptVerdict::may_have_executed);
    request_.first_executed_endpoint = -1;
    EXPECT_EQ(check(500), AttemptVerdict::allowed);
}

TEST_F(RetryPolicy, RetriesKeyedRequestWithinKeyWindow) {
    idempotency() = Idempotency::keyed;
    EXPECT_EQ(check(399), AttemptVerdict::allowed);
    EXPECT_EQ(check(400), AttemptVerdict::key_window_expired);
}

TEST_F(RetryPolicy, LimitsRetriesByBudget) {
    settings_.retry_budget_base = 0;
    settings_.retry_budget_ratio = 0.5;
    budget_.count_request(10);
    EXPECT_EQ(check(500), AttemptVerdict::budget_exhausted);
    budget_.count_request(20);
    EXPECT_EQ(check(500), AttemptVerdict::allowed);
    budget_.count_retry(30);
    EXPECT_EQ(check(500), AttemptVerdict::budget_exhausted);
    request_.attempts.clear();  // a first attempt is not limited
    EXPECT_EQ(check(500), AttemptVerdict::allowed);
}

TEST_F(RetryPolicy, ShedsOnlyIfRepeatIsSafe) {
    EXPECT_TRUE(may_shed(settings_.classes[0], request_));
    idempotency() = Idempotency::keyed;
    settings_.classes[0].key_scope = KeyScope::zone;
    EXPECT_FALSE(may_shed(settings_.classes[0], request_));
    settings_.classes[0].key_scope = KeyScope::all;
    EXPECT_TRUE(may_shed(settings_.classes[0], request_));
    idempotency() = Idempotency::non_idempotent;
    EXPECT_FALSE(may_shed(settings_.classes[0], request_));
    request_.first_executed_endpoint = -1;
    EXPECT_TRUE(may_shed(settings_.classes[0], request_));
}

TEST(KeyScopes, MatchByZoneAndCell) {
    Endpoint first;
    first.zone = "a";
    Endpoint other_cell = first;
    other_cell.cell = 1;
    Endpoint other_zone = first;
    other_zone.zone = "b";
    EXPECT_TRUE(in_key_scope(KeyScope::all, first, other_zone));
    EXPECT_FALSE(in_key_scope(KeyScope::zone, first, other_zone));
    EXPECT_TRUE(in_key_scope(KeyScope::zone, first, other_cell));
    EXPECT_FALSE(in_key_scope(KeyScope::cell, first, other_cell));
    EXPECT_TRUE(in_key_scope(KeyScope::cell, first, first));
}
