// ReadinessGuard: each invariant rejects exactly the reports that violate it.
#include "decide/readiness_guard.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(StartGuardTest, ReadyMeansAListAListenerAndSignals) {
    EXPECT_TRUE(ReadinessGuard::permit({true, true, true}));
    EXPECT_EQ(ReadinessGuard::find_violation({false, true, true}), Invariant::ready_without_endpoints);
    EXPECT_EQ(ReadinessGuard::find_violation({true, false, true}), Invariant::ready_without_listener);
    EXPECT_EQ(ReadinessGuard::find_violation({true, true, false}), Invariant::ready_without_signals);
}

}  // namespace
}  // namespace gatetiller::decide
