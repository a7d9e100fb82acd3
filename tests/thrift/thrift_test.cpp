// The Thrift side: what is whole is read as it was written; whatever else comes is refused without harm.
#include <gtest/gtest.h>

#include "base/random.hpp"
#include "thrift/service.hpp"

namespace gatetiller::thrift {
namespace {

std::string_view inside(const std::string& frame) {
    return std::string_view(frame).substr(kFrameHead);
}

TEST(Thrift, ACallIsReadAsItWasWritten) {
    const Fields fields{{"route", "report"}, {"trace", "9b1f03aa5c7e2d41"}};
    const std::string frame = process_call(7, fields, "SELECT 1");
    const auto call = read_call(inside(frame));
    ASSERT_TRUE(call) << call.error();
    EXPECT_EQ(call->what, Call::What::process);
    EXPECT_EQ(call->seq, 7);
    EXPECT_EQ(call->fields, fields);
    EXPECT_EQ(call->body, "SELECT 1");
}

// By hand from the published form of the strict binary protocol, so that reader and writer can't be wrong
// together.
TEST(Thrift, TheBytesAreThoseOfTheProtocol) {
    const auto bytes = [](std::initializer_list<int> list) {
        std::string s;
        for (const int b : list)
            s.push_back(static_cast<char>(b));
        return s;
    };
    const std::string give_up =
        bytes({0x80, 1, 0, 4, 0, 0, 0, 6}) + "giveUp" + bytes({0, 0, 0, 9, 8, 0, 1, 0, 0, 0, 5, 0});
    const auto call = read_call(give_up);
    ASSERT_TRUE(call) << call.error();
    EXPECT_EQ(call->what, Call::What::give_up);
    EXPECT_EQ(call->given_up, 5);
    EXPECT_EQ(rejected(3, {{"pause", "9"}}),
              bytes({0, 0, 0, 47, 0x80, 1, 0, 2, 0, 0, 0, 7}) + "process" +
                  bytes({0, 0, 0, 3, 12, 0, 1, 13, 0, 1, 11, 11, 0, 0, 0, 1, 0, 0, 0, 5}) + "pause" +
                  bytes({0, 0, 0, 1}) + "9" + bytes({0, 0}));
    EXPECT_EQ(answer("probe", 1, "").substr(kFrameHead),
              bytes({0x80, 1, 0, 2, 0, 0, 0, 5}) + "probe" +
                  bytes({0, 0, 0,  1,  12, 0, 0, 11, 0, 1, 0, 0, 0, 0, 13,
                         0, 2, 11, 11, 0,  0, 0, 0,  2, 0, 3, 1, 0, 0}));
}

TEST(Thrift, CutAtAnyByteItWaitsOrIsRefused) {
    const std::string frame = process_call(1, {{"route", "x"}, {"patience", "10"}}, "SELECT 1 FROM a_1.b");
    for (std::size_t n = 0; n < frame.size(); ++n) {
        Buffer in;
        in.append(std::string_view(frame).substr(0, n));
        std::string_view got;
        EXPECT_EQ(next_frame(in, 1000, got), FrameStatus::incomplete) << n;
        if (n >= kFrameHead) {
            EXPECT_FALSE(read_call(inside(frame).substr(0, n - kFrameHead))) << n;
        }
    }
    Buffer in;
    in.append(frame + frame);
    std::string_view got;
    ASSERT_EQ(next_frame(in, 1000, got), FrameStatus::complete);
    EXPECT_EQ(got, inside(frame));
}

TEST(Thrift, LengthsThatLieAreRefusedBeforeAnythingIsKept) {
    for (const std::uint32_t length : {1001u, 0x7fffffffu, 0x80000000u, 0xffffffffu}) {
        Buffer in;
        std::string head;
        for (int shift = 24; shift >= 0; shift -= 8)
            head.push_back(static_cast<char>(length >> shift & 0xff));
        in.append(head);
        std::string_view got;
        EXPECT_EQ(next_frame(in, 1000, got), FrameStatus::too_long) << length;
    }
    // A map that claims more entries than there are bytes, a negative string, a key that comes twice.
    const std::string good = process_call(1, {{"a", "b"}, {"c", "d"}}, "x");
    const std::size_t count = good.find(std::string("\x0b\x0b\0\0\0\x02", 6)) + 2;
    ASSERT_LT(count, good.size());
    for (const char first : {'\x7f', '\xff', '\0'}) {
        std::string bad = good;
        bad[count] = first, bad[count + 3] = '\x7f';
        EXPECT_FALSE(read_call(inside(bad)));
    }
    std::string twice = good;
    twice[twice.find(std::string("\0\0\0\1c", 5)) + 4] = 'a';
    EXPECT_FALSE(read_call(inside(twice)));
    // Lists within lists, deeper than any message needs.
    Writer deep(MessageType::call, "process", 1);
    deep.field(Type::list, 9);
    std::string nested = deep.frame();
    for (int i = 0; i < 50; ++i)
        nested += std::string("\x0f\0\0\0\x01", 5);
    EXPECT_FALSE(read_call(inside(nested)));
}

TEST(Thrift, ChangedBytesNeverHarm) {
    const std::string frame = process_call(1, {{"route", "x"}, {"patience", "10"}}, "SELECT 1 FROM a_1.b");
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string bad(inside(frame));
        for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
            bad[random.below(bad.size())] = static_cast<char>(random.next());
        if (random.chance(0.3))
            bad.resize(random.below(bad.size() + 1));
        const auto call = read_call(bad);  // read or refused; the sanitizers see to the rest
        EXPECT_TRUE(!call || call->body.size() <= bad.size()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace gatetiller::thrift
