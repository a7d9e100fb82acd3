// Counts of prevented violations and their text.
#include "decide/invariants.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(ViolationCountsTest, ListsTheCountOfEachInvariant) {
    ViolationCounts counts;
    EXPECT_EQ(counts.text(), "0");
    counts.count(Invariant::retry_of_non_idempotent);
    counts.count(Invariant::retry_of_non_idempotent);
    counts.count(Invariant::close_over_unread_bytes);
    EXPECT_EQ(counts.total(), 3u);
    EXPECT_EQ(counts.text(), "3(retry_of_non_idempotent:2,close_over_unread_bytes:1)");
    for (std::size_t i = 0; i < kInvariants; ++i)
        EXPECT_STRNE(name_of(static_cast<Invariant>(i)), "unknown");
}

}  // namespace
}  // namespace gatetiller::decide
