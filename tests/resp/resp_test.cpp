// Tests of RESP arrays: complete, truncated at each byte, corrupt, and with invalid lengths.
#include "resp/resp.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::resp {
namespace {

const Limits kLimits{4, 100};

ParseStatus read(std::string_view bytes, std::vector<std::string_view>& words, std::size_t& size) {
    return read_array(bytes, kLimits, words, size);
}

TEST(Resp, ReadsConsecutiveArrays) {
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

TEST(Resp, ReportsIncompleteForEachTruncation) {
    const std::string one = array({"id", "HIT", "chunks=1", "a\tb\tc\n"});
    std::vector<std::string_view> words;
    std::size_t size = 0;
    for (std::size_t n = 0; n < one.size(); ++n)
        EXPECT_EQ(read(std::string_view(one).substr(0, n), words, size), ParseStatus::incomplete) << n;
}

TEST(Resp, RejectsBytesThatCannotBecomeAnArrayImmediately) {
    std::vector<std::string_view> words;
    std::size_t size = 0;
    for (const char* bytes :
         {"noise", "+OK\r\n", "*5\r\n", "*-1\r\n", "*x\r\n", "*1\n", "*1\r\r", "*\r\n",
          "*11111111111111111111", "*1\r\n$3000000000\r\n", "*1\r\n$101\r\n", "*1\r\n$-1\r\n", "*1\r\n:1\r\n",
          "*1\r\n$1\r\nab", "*1\r\n$1\r\na\rb", "*1\r\n$1\nab", "*1\r\n$00000000000000000001\r\n"})
        EXPECT_EQ(read(bytes, words, size), ParseStatus::malformed) << bytes;
}

TEST(Resp, CorruptBytesGiveTheSameResultAtOnceAndByteByByte) {
    const std::string one = array({"id", "HIT", "chunks=1,spent=4", "a\tb\tc\n"});
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string bad = one;
        for (std::uint64_t n = 1 + random.below(3); n > 0; --n)
            bad[random.below(bad.size())] = static_cast<char>(random.next());
        std::vector<std::string_view> words, again;
        std::size_t size = 0, size_again = 0;
        const ParseStatus at_once = read(bad, words, size);
        // The first result byte by byte must be the same: a malformed stream is reported no later than when
        // all bytes are available.
        ParseStatus byte_by_byte = ParseStatus::incomplete;
        for (std::size_t n = 1; n <= bad.size() && byte_by_byte == ParseStatus::incomplete; ++n)
            byte_by_byte = read(std::string_view(bad).substr(0, n), again, size_again);
        ASSERT_EQ(byte_by_byte, at_once) << "seed " << seed;
        if (at_once == ParseStatus::complete) {
            ASSERT_EQ(size, size_again) << "seed " << seed;
        }
    }
}

}  // namespace
}  // namespace gatetiller::resp
