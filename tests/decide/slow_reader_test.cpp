// Clients are closed for not reading only if they were offered bytes and took none.
#include "decide/slow_reader.hpp"

#include <gtest/gtest.h>

#include "decide/client_sequence_numbers.hpp"
#include "decide/engine_exchange.hpp"

namespace gatetiller::decide {
namespace {

constexpr std::size_t kMebibyte = 1 << 20;

const ResourceLimits kLimits = derive_limits(256, 32);

TEST(SlowReader, ResponsesToAllOpenRequestsOfOneClientAreWithinItsLimit) {
    for (const std::int64_t memory_mb : {1, 4, 32, 512})
        EXPECT_FALSE(
            exceeds_unsent_limit(ClientSequenceNumbers::kMaxOpen * (ResultPages::kMaxResultBytes + 256),
                                 derive_limits(256, memory_mb)))
            << memory_mb;
    EXPECT_TRUE(exceeds_unsent_limit(5 * kMebibyte, kLimits));
}

TEST(SlowReader, CountsChecksWithoutProgress) {
    ReadProgress progress;
    EXPECT_EQ(progress.check(0).stalled_checks, 0);
    progress.add_queued(100);
    EXPECT_EQ(progress.check(100).stalled_checks, 1);
    EXPECT_EQ(progress.check(100).stalled_checks, 2);
    progress.add_queued(50);  // more bytes are no progress
    EXPECT_EQ(progress.check(150).stalled_checks, 3);
    EXPECT_EQ(progress.check(149).stalled_checks, 0);
    EXPECT_EQ(progress.check(149).stalled_checks, 1);
    EXPECT_EQ(progress.check(0).stalled_checks, 0);
}

TEST(SlowReader, ClosesAClientOverItsShareOnlyAfterManyStalledChecks) {
    const std::size_t over_share = kLimits.unsent_bytes + 1;
    EXPECT_TRUE(select_slow_readers({{over_share, 0}, {over_share, 19}}, kLimits).empty());
    EXPECT_EQ(select_slow_readers({{over_share, 19}, {over_share, 20}}, kLimits),
              std::vector<std::size_t>{1});
    EXPECT_TRUE(select_slow_readers({{over_share - 1, 1000}}, kLimits).empty());
}

// Guards against a client that is neither served nor closed because its messages wait until it reads.
TEST(SlowReader, ClosesAStalledClientWhoseMessagesWait) {
    EXPECT_TRUE(select_slow_readers({{5'000, 100, 19}, {5'000, 100, 0}}, kLimits).empty());
    EXPECT_EQ(select_slow_readers({{5'000, 20, 20}}, kLimits), std::vector<std::size_t>{0});
}

TEST(SlowReader, MessagesWaitOnlyWhileTheirClientHasUnreadResponses) {
    const std::size_t much = kLimits.total_unsent_bytes;
    const std::size_t little = kLimits.total_unsent_bytes / 2;
    EXPECT_FALSE(must_read_first({4'096, much, true}, kLimits));
    EXPECT_FALSE(must_read_first({4'096, much, false}, kLimits));
    EXPECT_TRUE(must_read_first({4'097, little, true}, kLimits));
    EXPECT_FALSE(must_read_first({4'097, little, false}, kLimits));
    EXPECT_TRUE(must_read_first({4'097, much, false}, kLimits));
}

TEST(SlowReader, ClosesTheLargestStalledClientsWhileAllTogetherHoldTooMuch) {
    const std::vector<ReaderSnapshot> clients{
        {kMebibyte, 2}, {4 * kMebibyte, 1}, {3 * kMebibyte, 2}, {kMebibyte, 0}};
    EXPECT_EQ(kLimits.total_unsent_bytes, 8 * kMebibyte);
    EXPECT_EQ(select_slow_readers(clients, kLimits), std::vector<std::size_t>{2});
    EXPECT_TRUE(select_slow_readers({{4 * kMebibyte, 1}, {5 * kMebibyte, 1}}, kLimits).empty());
}

}  // namespace
}  // namespace gatetiller::decide
