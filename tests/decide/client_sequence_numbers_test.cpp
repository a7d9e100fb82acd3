// Sequence numbers of the requests on one client connection.
#include "decide/client_sequence_numbers.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(ClientSequenceNumbers, MustIncreaseAndAreLimitedInNumber) {
    using Verdict = ClientSequenceNumbers::Verdict;
    ClientSequenceNumbers numbers;
    EXPECT_EQ(numbers.accept(0), Verdict::not_increasing);
    for (int i = 1; i <= 32; ++i)
        EXPECT_EQ(numbers.accept(i), Verdict::accepted);
    EXPECT_EQ(numbers.accept(32), Verdict::not_increasing);
    EXPECT_EQ(numbers.accept(33), Verdict::too_many_open);
    EXPECT_TRUE(numbers.release(5));
    EXPECT_FALSE(numbers.release(5));
    EXPECT_EQ(numbers.accept(5), Verdict::not_increasing);  // a released number is not reused
    EXPECT_EQ(numbers.accept(40), Verdict::accepted);
    EXPECT_EQ(numbers.release_all().size(), 32u);
    EXPECT_EQ(numbers.open_count(), 0u);
}

}  // namespace
}  // namespace gatetiller::decide
