// A statement's way to its engine while that may still change: nothing begins there that has been given up,
// or that its engine may not get any more.
#include "statement/engine_call.hpp"

#include <gtest/gtest.h>

#include "http/server.hpp"
#include "sim/virtual_loop.hpp"
#include "statement/load_report.hpp"

namespace gatetiller::statement {
namespace {

struct Ended final : EngineCall::Events {
    void on_document(EngineCall&, Document, const http::Headers&) override {}
    void on_end(EngineCall&, CallEnd e) override {
        end = std::move(e);
    }
    std::optional<CallEnd> end;
};

// An engine whose connections take long to come up, as all messages of this network do.
class LateEngine : public ::testing::Test {
protected:
    LateEngine() {
        const auto bound = server.listen(address);
        EXPECT_TRUE(bound) << bound.error();
    }
    void pass(Micros span) {
        const Micros end = loop.now() + span;
        loop.after(span, [] {});
        loop.run(
            [&] {
                return loop.now() >= end;
            },
            span + 1);
    }
    sim::VirtualLoop loop{{.seed = 1, .delay_low = 50 * kMillisecond, .delay_high = 60 * kMillisecond}};
    const net::Address address = *net::Address::parse("127.0.0.9:8080");
    int posts = 0;
    http::Server server{loop, {}, [this](http::Request& r, http::Server::Reply reply) {
                            posts += r.method == "POST";
                            reply.send({503, {}, "full"});
                        }};
    http::Client client{loop, address, {.connect_time_out = kSecondMicros}};
    Ended ended;
    EngineCall call{loop, client, {}, ended};
};

TEST_F(LateEngine, AStatementCancelledBeforeItsConnectionIsUpNeverArrives) {
    call.start({}, "SELECT 1");
    pass(20 * kMillisecond);
    call.cancel();
    pass(kSecondMicros);
    EXPECT_EQ(posts, 0);
}

TEST_F(LateEngine, AStatementThatMayNotBeginAnyMoreWhenItsConnectionIsUpNeverArrives) {
    bool may = true;
    call.start({}, "SELECT 1", [&] {
        return may;
    });
    pass(20 * kMillisecond);
    may = false;
    pass(kSecondMicros);
    EXPECT_EQ(posts, 0);
    ASSERT_TRUE(ended.end);
    EXPECT_EQ(ended.end->how, CallEnd::How::withdrawn);
}

TEST_F(LateEngine, AStatementRecalledIsOverAtOnceAndNeverArrives) {
    call.start({}, "SELECT 1");
    pass(20 * kMillisecond);
    EXPECT_TRUE(call.recall());
    EXPECT_TRUE(call.over());
    pass(kSecondMicros);
    EXPECT_EQ(posts, 0);
    EXPECT_FALSE(ended.end);
}

TEST_F(LateEngine, AStatementThatHasGoneOutCantBeRecalled) {
    call.start({}, "SELECT 1");
    pass(120 * kMillisecond);
    EXPECT_FALSE(call.recall());
    pass(kSecondMicros);
    EXPECT_EQ(posts, 1);
}

// Guards against an overflow in the conversion of seconds, and against a time that is told twice.
TEST(RetryAfter, IsZeroUnlessTheHeaderOccursOnceAndIsANumberOfSecondsUpToOneDay) {
    const auto read = [](std::initializer_list<const char*> values) {
        http::Headers headers;
        for (const char* value : values)
            headers.add("Retry-After", value);
        return read_retry_after(headers);
    };
    EXPECT_EQ(read({"3"}), 3 * kSecondMicros);
    EXPECT_EQ(read({"86400"}), 86'400 * kSecondMicros);
    EXPECT_EQ(read({}), 0);
    EXPECT_EQ(read({"3", "4"}), 0);
    for (const char* invalid : {"", "soon", "-3", "3.5", "3s", "86401", "9223372036854775807",
                                "99999999999999999999", "Fri, 04 Dec 2026 06:00:00 GMT"})
        EXPECT_EQ(read({invalid}), 0) << invalid;
}

// Guards against a load report out of range, which would stay in the policy's moving averages.
TEST(LoadReportHeader, HasOnlyValidValues) {
    const auto read = [](std::initializer_list<const char*> values) {
        http::Headers headers;
        for (const char* value : values)
            headers.add(std::string(kLoadHeader), value);
        return read_report(headers);
    };
    const auto report = read({"concurrent=7, load_share=0.5,memory_granted=1.25,unknown=1"});
    ASSERT_TRUE(report);
    EXPECT_EQ(report->running_queries, 7);
    EXPECT_EQ(report->busy_cores_share, 0.5);
    EXPECT_EQ(report->granted_memory_share, 1.25);
    EXPECT_FALSE(read({}));
    EXPECT_FALSE(read({"concurrent=7", "concurrent=7"}));
    for (const char* invalid : {"", "concurrent", "concurrent=", "concurrent=x", "concurrent=nan",
                                "concurrent=inf", "concurrent=-1", "concurrent=1e7", "concurrent=1e999",
                                "concurrent:7", "concurrent=1,concurrent=2", "concurrently=1"})
        EXPECT_FALSE(read({invalid})) << invalid;
}

}  // namespace
}  // namespace gatetiller::statement
