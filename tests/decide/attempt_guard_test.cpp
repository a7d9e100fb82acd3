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
        facts.time_left = kSecondMicros;
        facts.target.listed = true, facts.target.kind = "std", facts.target.zone = "z", facts.target.cell = 4;
    }
    std::optional<Invariant> forbidden(std::optional<double> cold = std::nullopt) const {
        const AttemptGuard guard(settings);
        EXPECT_EQ(guard.permit(facts, cls, cold).has_value(), !guard.find_violation(facts, cls, cold));
        return guard.find_violation(facts, cls, cold);
    }
    PolicySettings settings;
    ClassSettings cls;
    AttemptContext facts;
};

TEST_F(AttemptGuardTest, ASoundAttemptIsPermitted) {
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, NothingIsSentOnceTheClientHasItsAnswerOrIsGone) {
    facts.final_response_sent = true;
    EXPECT_EQ(forbidden(), Invariant::send_after_final_response);
    facts.client_disconnected = true;
    EXPECT_EQ(forbidden(), Invariant::send_after_client_disconnected);
}

TEST_F(AttemptGuardTest, NothingIsSentWithoutTimeOrTriesLeft) {
    facts.time_left = 0;
    EXPECT_EQ(forbidden(), Invariant::send_past_deadline);
    facts.time_left = 1, facts.earlier_attempts = 2;
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.earlier_attempts = 3;
    EXPECT_EQ(forbidden(), Invariant::send_over_max_attempts);
}

TEST_F(AttemptGuardTest, OneAttemptAtATimeUnlessTheSettingsAllowTwo) {
    facts.attempt_in_flight = true;
    EXPECT_EQ(forbidden(), Invariant::send_while_attempt_in_flight);
    settings.can_hedge = true;
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, WhatMayHaveRunIsRepeatedOnlyWhereThatIsHarmless) {
    facts.earlier_execution = EarlierExecution{kSecondMicros, "z", 4};
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.earlier_execution->sent_ago = cls.key_window;
    EXPECT_EQ(forbidden(), Invariant::retry_past_key_window);
    facts.earlier_execution = EarlierExecution{kSecondMicros, "z", 5};
    EXPECT_EQ(forbidden(), Invariant::retry_outside_key_scope);
    cls.key_scope = KeyScope::zone;
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.earlier_execution->zone = "y";
    EXPECT_EQ(forbidden(), Invariant::retry_outside_key_scope);
    cls.key_scope = KeyScope::all;
    EXPECT_EQ(forbidden(), std::nullopt);
    cls.idempotency = Idempotency::non_idempotent;
    EXPECT_EQ(forbidden(), Invariant::retry_of_non_idempotent);
    cls.idempotency = Idempotency::idempotent;
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, OnlyEnginesThatMayGetItDo) {
    facts.target.draining_for = settings.drain_grace;
    EXPECT_EQ(forbidden(), std::nullopt);
    ++facts.target.draining_for;
    EXPECT_EQ(forbidden(), Invariant::send_past_drain_grace);
    facts.target.draining_for = 0;
    cls.allowed_kinds = {"big"};
    EXPECT_EQ(forbidden(), Invariant::send_against_placement);
    cls.allowed_kinds = {"big", "std"}, cls.allowed_zones = {"y"};
    EXPECT_EQ(forbidden(), Invariant::send_against_placement);
    cls.allowed_zones = {"z"};
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.target.listed = false;
    EXPECT_EQ(forbidden(), Invariant::send_to_unlisted_engine);
}

TEST_F(AttemptGuardTest, AColdEngineGetsNoMoreThanItsBudget) {
    facts.target.in_slow_start = true;
    facts.target.slow_start_attempts = 5;
    EXPECT_EQ(forbidden(), std::nullopt);  // the mean work is not known
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.slow_start_attempts = 12;  // 4 + 3 * 2 + 3 = 13
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.slow_start_attempts = 13;
    EXPECT_EQ(forbidden(4.0), Invariant::send_over_slow_start_budget);
    facts.target.in_slow_start = false;
    EXPECT_EQ(forbidden(4.0), std::nullopt);
}

TEST_F(AttemptGuardTest, PermitsViolationsOnlyUnderFaultInjection) {
    facts.client_disconnected = true;
    EXPECT_FALSE(AttemptGuard(settings).permit(facts, cls, std::nullopt));
    EXPECT_TRUE(AttemptGuard(settings, false).permit(facts, cls, std::nullopt));
}

// The platform's terms: n + 2 * sqrt(n) + 2, below 30 requests n + 3 * sqrt(n) + 3. The budget is for all
// fronts together, so that the attempts of a fleet stay within it only if each front's share and its random
// variation do.
TEST(ColdBudget, IsThatOfTheTerms) {
    EXPECT_DOUBLE_EQ(slow_start_budget(100), 122);
    EXPECT_DOUBLE_EQ(slow_start_budget(25), 43);
    PolicySettings s;
    s.slow_start_capacity_share = 0.5, s.overload_factor = 2, s.overload_window = kSecondMicros;
    EXPECT_DOUBLE_EQ(*slow_start_share_requests(s, 8, 100 * kMillisecond), 80);
    EXPECT_EQ(slow_start_share_requests(s, 8, 0), std::nullopt);
}

}  // namespace
}  // namespace gatetiller::decide
