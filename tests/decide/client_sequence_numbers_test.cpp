// Sequence numbers of the requests on one client connection.
#include "decide/client_sequence_numbers.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(ClientNumbers, ClimbAndAreFewAtATime) {
    using Verdict = ClientSequenceNumbers::Verdict;
    ClientSequenceNumbers n;
    EXPECT_EQ(n.accept(0), Verdict::not_increasing);
    for (int i = 1; i <= 32; ++i)
        EXPECT_EQ(n.accept(i), Verdict::accepted);
    EXPECT_EQ(n.accept(32), Verdict::not_increasing);
    EXPECT_EQ(n.accept(33), Verdict::too_many_open);
    EXPECT_TRUE(n.release(5));
    EXPECT_FALSE(n.release(5));
    EXPECT_EQ(n.accept(5), Verdict::not_increasing);  // a released number is not reused
    EXPECT_EQ(n.accept(40), Verdict::accepted);
    EXPECT_EQ(n.release_all().size(), 32u);
    EXPECT_EQ(n.open_count(), 0u);
}

}  // namespace
}  // namespace gatetiller::decide
