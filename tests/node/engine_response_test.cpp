// Fields of engines' messages that are missing, unreadable, repeated or out of range.
#include "node/engine_response.hpp"

#include <gtest/gtest.h>

namespace gatetiller::node {
namespace {

TEST(EngineResponse, TextForLogsIsPrintableAndBounded) {
    const EngineResponse response{"9b1f03aa5c7e2d41", "HIT", "chunks=s\x01\n,spent=15", "rows"};
    EXPECT_EQ(response.text(), "9b1f03aa5c7e2d41 HIT chunks=s??,spent=15");
    EXPECT_EQ(EngineResponse({"id", "HIT", std::string(10'000, 'x'), ""}).text().size(), 160u);
}

decide::ResponseFields parsed(std::string_view text) {
    decide::ResponseFields fields;
    EXPECT_TRUE(fields.parse(text)) << text;
    return fields;
}

// Guards against a page count that cannot be read counting as 1: the first page was served as the result.
TEST(EngineResponse, PageCountIsNothingUnlessItOccursOnceAndIsANumberInRange) {
    EXPECT_EQ(read_page_count(parsed("spent=3,chunks=1")), 1u);
    EXPECT_EQ(read_page_count(parsed("chunks=512")), 512u);
    for (const char* invalid :
         {"-", "spent=3", "Chunks=3", "chunks=", "chunks=s", "chunks=3s", "chunks= 3", "chunks=+3",
          "chunks=-3", "chunks=0", "chunks=513", "chunks=99999999999999999999", "chunks=3.0", "chunks=0x3",
          "chunks=nan", "chunks=1,chunks=3", "chunks=3,chunks=3", "chunks=3,spent=1,chunks=s"})
        EXPECT_EQ(read_page_count(parsed(invalid)), std::nullopt) << invalid;
}

// Guards against a page whose number cannot be read being ignored: its result never became complete.
TEST(EngineResponse, PageNumberIsNothingUnlessItOccursOnceAndIsANumberInRange) {
    EXPECT_EQ(read_page_number(parsed("at=1")), 1u);
    EXPECT_EQ(read_page_number(parsed("at=511")), 511u);
    for (const char* invalid : {"-", "At=1", "at=", "at=q", "at=1q", "at=-1", "at=0", "at=512", "at=1.0",
                                "at=99999999999999999999", "at=1,at=2", "at=1,at=1"})
        EXPECT_EQ(read_page_number(parsed(invalid)), std::nullopt) << invalid;
}

// Guards against figures out of range entering the policy's moving averages, where one infinity stays for
// good.
TEST(EngineResponse, CostsCountAsNotReportedUnlessTheyAreNumbersInRange) {
    const auto cost = read_cost(parsed("spent=15.5,wanted=32"));
    EXPECT_EQ(cost.work_ms, 15.5);
    EXPECT_EQ(cost.needed_mb, 32);
    for (const char* invalid : {"-", "spent=,wanted=", "spent=x,wanted=3y", "spent=nan,wanted=nan",
                                "spent=inf,wanted=inf", "spent=-1,wanted=-1", "spent=1e9,wanted=1e8",
                                "spent=1e999,wanted=1e999", "spent=1,spent=2,wanted=1,wanted=2"}) {
        EXPECT_EQ(read_cost(parsed(invalid)).work_ms, 0) << invalid;
        EXPECT_EQ(read_cost(parsed(invalid)).needed_mb, 0) << invalid;
    }
}

TEST(EngineResponse, LoadReportHasOnlyValidValues) {
    const auto report = read_load_report(parsed("gauges=concurrent:7;depth:2;x1:1.25;unknown:3"));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->running_queries, 7);
    EXPECT_EQ(report->queue_depth, 2);
    EXPECT_EQ(report->busy_disks_share, 1.25);
    for (const char* invalid :
         {"-", "gauges=", "gauges=concurrent", "gauges=concurrent:", "gauges=concurrent:x",
          "gauges=concurrent:nan", "gauges=concurrent:inf", "gauges=concurrent:-1", "gauges=concurrent:1e7",
          "gauges=concurrent:1e999", "gauges=concurrent:1;concurrent:2", "gauges=unknown:1",
          "gauges=concurrent:1,gauges=concurrent:1"})
        EXPECT_FALSE(read_load_report(parsed(invalid))) << invalid;
    const auto partly = read_load_report(parsed("gauges=concurrent:nan;depth:2"));
    ASSERT_TRUE(partly);
    EXPECT_FALSE(partly->running_queries);
    EXPECT_EQ(partly->queue_depth, 2);
}

TEST(EngineResponse, ProgressIsNothingUnlessItsAmountIsInRangeForItsResource) {
    const auto note = read_progress(parsed("res=so_far,amount=0.25"));
    ASSERT_TRUE(note);
    EXPECT_EQ(note->kind, ProgressKind::fraction_done);
    EXPECT_EQ(note->value, 0.25);
    EXPECT_TRUE(read_progress(parsed("res=lacking,amount=4096")));
    EXPECT_TRUE(read_progress(parsed("res=waiting,amount=2")));
    for (const char* invalid : {"-", "res=so_far", "amount=0.5", "res=so_fxr,amount=0.5",
                                "res=so_far,amount=", "res=so_far,amount=x", "res=so_far,amount=nan",
                                "res=so_far,amount=1.01", "res=so_far,amount=-0.5", "res=lacking,amount=inf",
                                "res=lacking,amount=-1", "res=lacking,amount=1e8", "res=waiting,amount=3",
                                "res=so_far,amount=0.5,amount=0.9", "res=so_far,res=lacking,amount=0.5"})
        EXPECT_FALSE(read_progress(parsed(invalid))) << invalid;
}

}  // namespace
}  // namespace gatetiller::node
