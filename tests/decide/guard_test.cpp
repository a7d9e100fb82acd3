// The guards of sending, repeating, closing and starting: each invariant refuses exactly what breaks it.
#include <gtest/gtest.h>

#include "decide/attempt_guard.hpp"
#include "decide/close_guard.hpp"
#include "decide/readiness_guard.hpp"

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
    EXPECT_EQ(forbidden(), Invariant::send_after_final);
    facts.client_disconnected = true;
    EXPECT_EQ(forbidden(), Invariant::send_after_client_left);
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
    EXPECT_EQ(forbidden(), Invariant::send_while_attempt_out);
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
    EXPECT_EQ(forbidden(), std::nullopt);  // no work is known
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.slow_start_attempts = 12;  // 4 + 3 * 2 + 3 = 13
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.slow_start_attempts = 13;
    EXPECT_EQ(forbidden(4.0), Invariant::send_over_slow_start_budget);
    facts.target.in_slow_start = false;
    EXPECT_EQ(forbidden(4.0), std::nullopt);
}

// The terms: N + 2 x root of N + 2, and under 30 N + 3 x root of N + 3. All fronts share it: the sum of what
// a fleet of any size sends is bounded by it only if each front's part and its draws keep below.
TEST(ColdBudget, IsThatOfTheTerms) {
    EXPECT_DOUBLE_EQ(slow_start_budget(100), 122);
    EXPECT_DOUBLE_EQ(slow_start_budget(25), 43);
    PolicySettings s;
    s.slow_start_capacity_share = 0.5, s.overload_factor = 2, s.overload_window = kSecondMicros;
    EXPECT_DOUBLE_EQ(*slow_start_share_requests(s, 8, 100 * kMillisecond), 80);
    EXPECT_EQ(slow_start_share_requests(s, 8, 0), std::nullopt);
}

TEST(CloseGuardTest, ARestingConnectionIsClosedAndNoOther) {
    for (const auto reason : {CloseReason::evicted, CloseReason::request_timeout, CloseReason::shutdown}) {
        EXPECT_EQ(CloseGuard::find_violation({}, reason), std::nullopt);
        EXPECT_TRUE(CloseGuard::permit({}, reason));
        EXPECT_EQ(CloseGuard::find_violation({.open_requests = 1}, reason),
                  Invariant::close_with_request_open);
        EXPECT_EQ(CloseGuard::find_violation({.has_unsent = true}, reason),
                  Invariant::close_with_response_unsent);
        EXPECT_EQ(CloseGuard::find_violation({.has_unread = true}, reason),
                  Invariant::close_over_unread_bytes);
        EXPECT_FALSE(CloseGuard::permit({.has_unread = true}, reason));
    }
    // What was taken before a malformed message is owed; nothing that came behind it could be read.
    EXPECT_EQ(CloseGuard::find_violation({.open_requests = 1}, CloseReason::malformed),
              Invariant::close_with_request_open);
    EXPECT_TRUE(CloseGuard::permit({.has_unsent = true, .has_unread = true}, CloseReason::malformed));
    // Nobody is there: it goes all the same.
    for (const auto reason : {CloseReason::peer_closed, CloseReason::slow_reader, CloseReason::linger_timeout,
                              CloseReason::process_exit})
        EXPECT_TRUE(CloseGuard::permit({.open_requests = 1, .has_unsent = true, .has_unread = true}, reason))
            << name_of(reason);
}

TEST(StartGuardTest, ReadyMeansAListAListenerAndSignals) {
    EXPECT_TRUE(ReadinessGuard::permit({true, true, true}));
    EXPECT_EQ(ReadinessGuard::find_violation({false, true, true}), Invariant::ready_without_endpoints);
    EXPECT_EQ(ReadinessGuard::find_violation({true, false, true}), Invariant::ready_without_listener);
    EXPECT_EQ(ReadinessGuard::find_violation({true, true, false}), Invariant::ready_without_signals);
}

TEST(ViolationCountsTest, NamesWhatWasRefused) {
    ViolationCounts counts;
    EXPECT_EQ(counts.text(), "0");
    counts.count(Invariant::retry_of_non_idempotent);
    counts.count(Invariant::retry_of_non_idempotent);
    counts.count(Invariant::close_over_unread_bytes);
    EXPECT_EQ(counts.total(), 3u);
    EXPECT_EQ(counts.text(), "3(repeat_of_once:2,close_over_unread_bytes:1)");
    for (std::size_t i = 0; i < kInvariants; ++i)
        EXPECT_STRNE(name_of(static_cast<Invariant>(i)), "unknown");
}

}  // namespace
}  // namespace gatetiller::decide
