// Tests of the Thrift protocol: complete messages are read as written, all others are rejected safely.
#include <gtest/gtest.h>

#include <functional>

#include "base/random.hpp"
#include "thrift/service.hpp"

namespace gatetiller::thrift {
namespace {

std::string_view payload(const std::string& frame) {
    return std::string_view(frame).substr(kFrameHead);
}

TEST(Thrift, ReadsACallAsWritten) {
    const Fields fields{{"route", "report"}, {"trace", "9b1f03aa5c7e2d41"}};
    const std::string frame = process_call(7, fields, "SELECT 1");
    const auto call = read_call(payload(frame));
    ASSERT_TRUE(call) << call.error();
    EXPECT_EQ(call->what, Call::What::process);
    EXPECT_EQ(call->seq, 7);
    EXPECT_EQ(call->fields, fields);
    EXPECT_EQ(call->body, "SELECT 1");
}

// The bytes are written by hand from the published strict binary protocol, so that the reader and the writer
// cannot share an error.
TEST(Thrift, BytesMatchTheProtocol) {
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

TEST(Thrift, TruncatedFramesAreIncompleteAndTruncatedCallsRejected) {
    const std::string frame = process_call(1, {{"route", "x"}, {"patience", "10"}}, "SELECT 1 FROM a_1.b");
    for (std::size_t n = 0; n < frame.size(); ++n) {
        Buffer in;
        in.append(std::string_view(frame).substr(0, n));
        std::string_view read;
        EXPECT_EQ(next_frame(in, 1000, read), FrameStatus::incomplete) << n;
        if (n >= kFrameHead) {
            EXPECT_FALSE(read_call(payload(frame).substr(0, n - kFrameHead))) << n;
        }
    }
    Buffer in;
    in.append(frame + frame);
    std::string_view read;
    ASSERT_EQ(next_frame(in, 1000, read), FrameStatus::complete);
    EXPECT_EQ(read, payload(frame));
}

TEST(Thrift, RejectsInvalidLengthsBeforeAllocating) {
    for (const std::uint32_t length : {1001u, 0x7fffffffu, 0x80000000u, 0xffffffffu}) {
        Buffer in;
        std::string head;
        for (int shift = 24; shift >= 0; shift -= 8)
            head.push_back(static_cast<char>(length >> shift & 0xff));
        in.append(head);
        std::string_view read;
        EXPECT_EQ(next_frame(in, 1000, read), FrameStatus::too_long) << length;
    }
    // A map with more entries than there are bytes, a string with a negative size, a duplicate key.
    const std::string good = process_call(1, {{"a", "b"}, {"c", "d"}}, "x");
    const std::size_t count = good.find(std::string("\x0b\x0b\0\0\0\x02", 6)) + 2;
    ASSERT_LT(count, good.size());
    for (const char first : {'\x7f', '\xff', '\0'}) {
        std::string bad = good;
        bad[count] = first, bad[count + 3] = '\x7f';
        EXPECT_FALSE(read_call(payload(bad)));
    }
    std::string duplicate = good;
    duplicate[duplicate.find(std::string("\0\0\0\1c", 5)) + 4] = 'a';
    EXPECT_FALSE(read_call(payload(duplicate)));
    // Lists nested deeper than the limit.
    Writer deep(MessageType::call, "process", 1);
    deep.field(Type::list, 9);
    std::string nested = deep.frame();
    for (int i = 0; i < 50; ++i)
        nested += std::string("\x0f\0\0\0\x01", 5);
    EXPECT_FALSE(read_call(payload(nested)));
}

// Guards against executing one of two statements, or with one of two sets of fields, that a call holds.
TEST(Thrift, RejectsRepeatedArgumentsAndLeavesOutThoseOfAnotherType) {
    const auto call_of = [](const char* method, const std::function<void(Writer&)>& write_arguments) {
        Writer writer(MessageType::call, method, 1);
        write_arguments(writer);
        writer.stop();
        return read_call(payload(writer.frame()));
    };
    const auto write_fields = [](Writer& writer, const Fields& fields) {
        writer.field(Type::map, 1);
        writer.fields(fields);
    };
    const auto write_body = [](Writer& writer, const char* body) {
        writer.field(Type::string, 2);
        writer.string(body);
    };
    EXPECT_FALSE(call_of("process", [&](Writer& writer) {
        write_fields(writer, {{"route", "a"}});
        write_fields(writer, {{"route", "b"}});
        write_body(writer, "SELECT 1");
    }));
    EXPECT_FALSE(call_of("process", [&](Writer& writer) {
        write_fields(writer, {{"route", "a"}});
        write_body(writer, "SELECT 1");
        write_body(writer, "SELECT 2");
    }));
    EXPECT_FALSE(call_of("giveUp", [](Writer& writer) {
        for (const std::int32_t sequence : {5, 6}) {
            writer.field(Type::i32, 1);
            writer.i32(sequence);
        }
    }));
    EXPECT_FALSE(call_of("giveUp", [](Writer& writer) {
        writer.field(Type::string, 1);
        writer.string("5");
    }));
    const auto call = call_of("process", [](Writer& writer) {
        writer.field(Type::string, 1);
        writer.string("route=a");
        writer.field(Type::i32, 2);
        writer.i32(7);
    });
    ASSERT_TRUE(call) << call.error();
    EXPECT_TRUE(call->fields.empty());  // the check of the request rejects it
    EXPECT_TRUE(call->body.empty());
}

TEST(Thrift, ReadsOrRejectsCorruptBytes) {
    const std::string frame = process_call(1, {{"route", "x"}, {"patience", "10"}}, "SELECT 1 FROM a_1.b");
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string bad(payload(frame));
        for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
            bad[random.below(bad.size())] = static_cast<char>(random.next());
        if (random.chance(0.3))
            bad.resize(random.below(bad.size() + 1));
        const auto call = read_call(bad);  // accepted or rejected; sanitizer builds detect memory errors
        EXPECT_TRUE(!call || call->body.size() <= bad.size()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace gatetiller::thrift
