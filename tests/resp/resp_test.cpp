// RESP arrays: whole, cut at each byte, changed, and with lengths that lie.
#include "resp/resp.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::resp {
namespace {

const Limits kLimits{4, 100};

ParseStatus read(std::string_view bytes, std::vector<std::string_view>& words, std::size_t& size) {
    return read_array(bytes, kLimits, words, size);
}

TEST(Resp, WholeArraysFollowEachOther) {
    const std::string one = array({"id", "HIT", "-", std::string_view("a\r\nb\0", 5)}), two = array({"x"});
    std::vector<std::string_view> words;
    std::size_t size = 0;
    const std::string both = one + two;
    ASSERT_EQ(read(both, words, size), ParseStatus::complete);
    EXPECT_EQ(size, one.size());
    EXPECT_EQ(words, (std::vector<std::string_view>{"id", "HIT", "-", std::string_view("a\r\nb\0", 5)}));
    ASSERT_EQ(read(std::string_view(both).substr(size), words, size), ParseStatus::complete);
    EXPECT_EQ(words, std::vector<std::string_view>{"x"});
}

TEST(Resp, CutAtAnyByteItWaits) {
    const std::string one = array({"id", "HIT", "chunks=1", "a\tb\tc\n"});
    std::vector<std::string_view> words;
    std::size_t size = 0;
    for (std::size_t n = 0; n < one.size(); ++n)
        EXPECT_EQ(read(std::string_view(one).substr(0, n), words, size), ParseStatus::incomplete) << n;
}

TEST(Resp, WhatCanNeverBecomeAnArrayIsSpoiltAtOnce) {
    std::vector<std::string_view> words;
    std::size_t size = 0;
    for (const char* bytes :
         {"noise", "+OK\r\n", "*5\r\n", "*-1\r\n", "*x\r\n", "*1\n", "*1\r\r", "*\r\n",
          "*11111111111111111111", "*1\r\n$3000000000\r\n", "*1\r\n$101\r\n", "*1\r\n$-1\r\n", "*1\r\n:1\r\n",
          "*1\r\n$1\r\nab", "*1\r\n$1\r\na\rb", "*1\r\n$1\nab", "*1\r\n$00000000000000000001\r\n"})
        EXPECT_EQ(read(bytes, words, size), ParseStatus::malformed) << bytes;
}

TEST(Resp, ChangedBytesAreReadWholeAsInPieces) {
    const std::string one = array({"id", "HIT", "chunks=1,spent=4", "a\tb\tc\n"});
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string bad = one;
        for (std::uint64_t n = 1 + random.below(3); n > 0; --n)
            bad[random.below(bad.size())] = static_cast<char>(random.next());
        std::vector<std::string_view> words, again;
        std::size_t size = 0, size_again = 0;
        const ParseStatus whole = read(bad, words, size);
        // Byte by byte the first verdict must be the same: a spoilt stream is told no later than when all is
        // there.
        ParseStatus pieces = ParseStatus::incomplete;
        for (std::size_t n = 1; n <= bad.size() && pieces == ParseStatus::incomplete; ++n)
            pieces = read(std::string_view(bad).substr(0, n), again, size_again);
        ASSERT_EQ(pieces, whole) << "seed " << seed;
        if (whole == ParseStatus::complete) {
            ASSERT_EQ(size, size_again) << "seed " << seed;
        }
    }
}

}  // namespace
}  // namespace gatetiller::resp
