// AttemptGuard: each invariant rejects exactly the attempts that violate it.
#include "decide/attempt_guard.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace gatetiller::decide {
namespace {

class AttemptGuardTest : public ::testing::Test {
protected:
    AttemptGuardTest() {
        settings.max_attempts = 3;
        settings.drain_grace = 2 * kSecondMicros;
        settings.slow_start_capacity_share = 0.3, settings.overload_factor = 3,
        settings.overload_window = 1'500 * kMillisecond;
        cls.idempotency = Idempotency::keyed, cls.key_scope = KeyScope::cell,
        cls.key_window = 10 * kSecondMicros;
        context.time_left = kSecondMicros;
        context.target.listed = true, context.target.kind = "std", context.target.zone = "z",
        context.target.cell = 4;
    }
    std::optional<Invariant> violation(std::optional<double> share_requests = std::nullopt) const {
        const AttemptGuard guard(settings);
        EXPECT_EQ(guard.permit(context, cls, share_requests).has_value(),
                  !guard.find_violation(context, cls, share_requests));
        return guard.find_violation(context, cls, share_requests);
    }
    PolicySettings settings;
    ClassSettings cls;
    AttemptContext context;
};

TEST_F(AttemptGuardTest, PermitsAValidAttempt) {
    EXPECT_EQ(violation(), std::nullopt);
}

TEST_F(AttemptGuardTest, RejectsAttemptsAfterTheFinalResponseOrDisconnect) {
    context.final_response_sent = true;
    EXPECT_EQ(violation(), Invariant::send_after_final_response);
    context.client_disconnected = true;
    EXPECT_EQ(violation(), Invariant::send_after_client_disconnected);
}

TEST_F(AttemptGuardTest, RejectsAttemptsPastTheDeadlineOrOverMaxAttempts) {
    context.time_left = 0;
    EXPECT_EQ(violation(), Invariant::send_past_deadline);
    context.time_left = 1, context.earlier_attempts = 2;
    EXPECT_EQ(violation(), std::nullopt);
    context.earlier_attempts = 3;
    EXPECT_EQ(violation(), Invariant::send_over_max_attempts);
}

TEST_F(AttemptGuardTest, RejectsConcurrentAttemptsUnlessHedgingIsAllowed) {
    context.attempt_in_flight = true;
    EXPECT_EQ(violation(), Invariant::send_while_attempt_in_flight);
    settings.can_hedge = true;
    EXPECT_EQ(violation(), std::nullopt);
}

TEST_F(AttemptGuardTest, RejectsUnsafeRetriesAfterAPossibleExecution) {
    context.earlier_execution = EarlierExecution{kSecondMicros, "z", 4};
    EXPECT_EQ(violation(), std::nullopt);
    context.earlier_execution->sent_ago = cls.key_window;
    EXPECT_EQ(violation(), Invariant::retry_past_key_window);
    context.earlier_execution = EarlierExecution{kSecondMicros, "z", 5};
    EXPECT_EQ(violation(), Invariant::retry_outside_key_scope);
    cls.key_scope = KeyScope::zone;
    EXPECT_EQ(violation(), std::nullopt);
    context.earlier_execution->zone = "y";
    EXPECT_EQ(violation(), Invariant::retry_outside_key_scope);
    cls.key_scope = KeyScope::all;
    EXPECT_EQ(violation(), std::nullopt);
    cls.idempotency = Idempotency::non_idempotent;
    EXPECT_EQ(violation(), Invariant::retry_of_non_idempotent);
    cls.idempotency = Idempotency::idempotent;
    EXPECT_EQ(violation(), std::nullopt);
}

TEST_F(AttemptGuardTest, RejectsUnlistedDrainedAndDisallowedEngines) {
    context.target.draining_for = settings.drain_grace;
    EXPECT_EQ(violation(), std::nullopt);
    ++context.target.draining_for;
    EXPECT_EQ(violation(), Invariant::send_past_drain_grace);
    context.target.draining_for = 0;
    cls.allowed_kinds = {"big"};
    EXPECT_EQ(violation(), Invariant::send_against_placement);
    cls.allowed_kinds = {"big", "std"}, cls.allowed_zones = {"y"};
    EXPECT_EQ(violation(), Invariant::send_against_placement);
    cls.allowed_zones = {"z"};
    EXPECT_EQ(violation(), std::nullopt);
    context.target.listed = false;
    EXPECT_EQ(violation(), Invariant::send_to_unlisted_engine);
}

TEST_F(AttemptGuardTest, RejectsAttemptsOverTheSlowStartBudget) {
    context.target.in_slow_start = true;
    context.target.slow_start_attempts = 5;
    EXPECT_EQ(violation(), std::nullopt);  // the mean work is not known
    EXPECT_EQ(violation(4.0), std::nullopt);
    context.target.slow_start_attempts = 12;  // 4 + 3 * 2 + 3 = 13
    EXPECT_EQ(violation(4.0), std::nullopt);
    context.target.slow_start_attempts = 13;
    EXPECT_EQ(violation(4.0), Invariant::send_over_slow_start_budget);
    context.target.in_slow_start = false;
    EXPECT_EQ(violation(4.0), std::nullopt);
}

TEST_F(AttemptGuardTest, PermitsViolationsOnlyUnderFaultInjection) {
    context.client_disconnected = true;
    EXPECT_FALSE(AttemptGuard(settings).permit(context, cls, std::nullopt));
    EXPECT_TRUE(AttemptGuard(settings, false).permit(context, cls, std::nullopt));
}

// The platform's limit for a starting engine whose slow-start share is n requests: n + 2 * sqrt(n) + 2, or
// n + 3 * sqrt(n) + 3 if n < 30. The limit applies to all fronts together, so the budget of each front must
// leave room for the random variation of the fleet's total.
TEST(SlowStartBudget, FollowsThePlatformTerms) {
    EXPECT_DOUBLE_EQ(slow_start_budget(100), 122);
    EXPECT_DOUBLE_EQ(slow_start_budget(25), 43);
    PolicySettings s;
    s.slow_start_capacity_share = 0.5, s.overload_factor = 2, s.overload_window = kSecondMicros;
    EXPECT_DOUBLE_EQ(*slow_start_share_requests(s, 8, 100 * kMillisecond), 80);
    EXPECT_EQ(slow_start_share_requests(s, 8, 0), std::nullopt);
}

}  // namespace
}  // namespace gatetiller::decide
