// The guards of sending, repeating, closing and starting: each invariant refuses exactly what breaks it.
#include <gtest/gtest.h>

#include "decide/attempt_guard.hpp"
#include "decide/close_guard.hpp"
#include "decide/start_guard.hpp"

namespace gatetiller::decide {
namespace {

class AttemptGuardTest : public ::testing::Test {
protected:
    AttemptGuardTest() {
        settings.attempts_cap = 3;
        settings.drain_grace = 2 * kSecondMicros;
        settings.cold_share = 0.3, settings.overload_factor = 3, settings.overload_for = 1'500 * kMillisecond;
        cls.effect = Effect::by_key, cls.key_scope = Scope::cell, cls.window = 10 * kSecondMicros;
        facts.left = kSecondMicros;
        facts.target.listed = true, facts.target.kind = "std", facts.target.zone = "z", facts.target.cell = 4;
    }
    std::optional<Invariant> forbidden(std::optional<double> cold = std::nullopt) const {
        const AttemptGuard guard(settings);
        EXPECT_EQ(guard.permit(facts, cls, cold).has_value(), !guard.forbids(facts, cls, cold));
        return guard.forbids(facts, cls, cold);
    }
    Settings settings;
    ClassSettings cls;
    AttemptFactsNow facts;
};

TEST_F(AttemptGuardTest, ASoundAttemptIsPermitted) {
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, NothingIsSentOnceTheClientHasItsAnswerOrIsGone) {
    facts.final_given = true;
    EXPECT_EQ(forbidden(), Invariant::send_after_final);
    facts.client_left = true;
    EXPECT_EQ(forbidden(), Invariant::send_after_client_left);
}

TEST_F(AttemptGuardTest, NothingIsSentWithoutTimeOrTriesLeft) {
    facts.left = 0;
    EXPECT_EQ(forbidden(), Invariant::send_past_deadline);
    facts.left = 1, facts.attempts = 2;
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.attempts = 3;
    EXPECT_EQ(forbidden(), Invariant::send_over_attempt_cap);
}

TEST_F(AttemptGuardTest, OneAttemptAtATimeUnlessTheSettingsAllowTwo) {
    facts.attempt_out = true;
    EXPECT_EQ(forbidden(), Invariant::send_while_attempt_out);
    settings.may_duplicate = true;
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, WhatMayHaveRunIsRepeatedOnlyWhereThatIsHarmless) {
    facts.may_have_run = EarlierRun{kSecondMicros, "z", 4};
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.may_have_run->sent_before = cls.window;
    EXPECT_EQ(forbidden(), Invariant::repeat_past_key_window);
    facts.may_have_run = EarlierRun{kSecondMicros, "z", 5};
    EXPECT_EQ(forbidden(), Invariant::repeat_outside_key_scope);
    cls.key_scope = Scope::zone;
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.may_have_run->zone = "y";
    EXPECT_EQ(forbidden(), Invariant::repeat_outside_key_scope);
    cls.key_scope = Scope::all;
    EXPECT_EQ(forbidden(), std::nullopt);
    cls.effect = Effect::once;
    EXPECT_EQ(forbidden(), Invariant::repeat_of_once);
    cls.effect = Effect::repeatable;
    EXPECT_EQ(forbidden(), std::nullopt);
}

TEST_F(AttemptGuardTest, OnlyEnginesThatMayGetItDo) {
    facts.target.draining_for = settings.drain_grace;
    EXPECT_EQ(forbidden(), std::nullopt);
    ++facts.target.draining_for;
    EXPECT_EQ(forbidden(), Invariant::send_past_drain_grace);
    facts.target.draining_for = 0;
    cls.served_on = {"big"};
    EXPECT_EQ(forbidden(), Invariant::send_against_placement);
    cls.served_on = {"big", "std"}, cls.azs_open = {"y"};
    EXPECT_EQ(forbidden(), Invariant::send_against_placement);
    cls.azs_open = {"z"};
    EXPECT_EQ(forbidden(), std::nullopt);
    facts.target.listed = false;
    EXPECT_EQ(forbidden(), Invariant::send_to_unlisted_engine);
}

TEST_F(AttemptGuardTest, AColdEngineGetsNoMoreThanItsBudget) {
    facts.target.cold = true;
    facts.target.cold_sent = 5;
    EXPECT_EQ(forbidden(), std::nullopt);  // no work is known
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.cold_sent = 12;  // 4 + 3 * 2 + 3 = 13
    EXPECT_EQ(forbidden(4.0), std::nullopt);
    facts.target.cold_sent = 13;
    EXPECT_EQ(forbidden(4.0), Invariant::send_over_cold_budget);
    facts.target.cold = false;
    EXPECT_EQ(forbidden(4.0), std::nullopt);
}

// The terms: N + 2 x root of N + 2, and under 30 N + 3 x root of N + 3. All fronts share it: the sum of what
// a fleet of any size sends is bounded by it only if each front's part and its draws keep below.
TEST(ColdBudget, IsThatOfTheTerms) {
    EXPECT_DOUBLE_EQ(cold_budget(100), 122);
    EXPECT_DOUBLE_EQ(cold_budget(25), 43);
    Settings s;
    s.cold_share = 0.5, s.overload_factor = 2, s.overload_for = kSecondMicros;
    EXPECT_DOUBLE_EQ(*cold_share_requests(s, 8, 100 * kMillisecond), 80);
    EXPECT_EQ(cold_share_requests(s, 8, 0), std::nullopt);
}

TEST(CloseGuardTest, ARestingConnectionIsClosedAndNoOther) {
    for (const auto reason : {CloseReason::made_room, CloseReason::overdue, CloseReason::wind_down}) {
        EXPECT_EQ(CloseGuard::forbids({}, reason), std::nullopt);
        EXPECT_TRUE(CloseGuard::permit({}, reason));
        EXPECT_EQ(CloseGuard::forbids({.open = 1}, reason), Invariant::close_with_request_open);
        EXPECT_EQ(CloseGuard::forbids({.unsent = true}, reason), Invariant::close_with_answer_unsent);
        EXPECT_EQ(CloseGuard::forbids({.unread = true}, reason), Invariant::close_over_unread_bytes);
        EXPECT_FALSE(CloseGuard::permit({.unread = true}, reason));
    }
    // What was taken before a malformed message is owed; nothing that came behind it could be read.
    EXPECT_EQ(CloseGuard::forbids({.open = 1}, CloseReason::malformed), Invariant::close_with_request_open);
    EXPECT_TRUE(CloseGuard::permit({.unsent = true, .unread = true}, CloseReason::malformed));
    // Nobody is there: it goes all the same.
    for (const auto reason : {CloseReason::peer_ended, CloseReason::reads_nothing, CloseReason::lingered,
                              CloseReason::process_ends})
        EXPECT_TRUE(CloseGuard::permit({.open = 1, .unsent = true, .unread = true}, reason))
            << name_of(reason);
}

TEST(StartGuardTest, ReadyMeansAListAListenerAndSignals) {
    EXPECT_TRUE(StartGuard::permit({true, true, true}));
    EXPECT_EQ(StartGuard::forbids({false, true, true}), Invariant::ready_without_list);
    EXPECT_EQ(StartGuard::forbids({true, false, true}), Invariant::ready_without_listener);
    EXPECT_EQ(StartGuard::forbids({true, true, false}), Invariant::ready_without_signals);
}

TEST(ViolationCountsTest, NamesWhatWasRefused) {
    ViolationCounts counts;
    EXPECT_EQ(counts.text(), "0");
    counts.count(Invariant::repeat_of_once);
    counts.count(Invariant::repeat_of_once);
    counts.count(Invariant::close_over_unread_bytes);
    EXPECT_EQ(counts.total(), 3u);
    EXPECT_EQ(counts.text(), "3(repeat_of_once:2,close_over_unread_bytes:1)");
    for (std::size_t i = 0; i < kInvariants; ++i)
        EXPECT_STRNE(name_of(static_cast<Invariant>(i)), "unknown");
}

}  // namespace
}  // namespace gatetiller::decide
