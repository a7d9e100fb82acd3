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

}  // namespace
}  // namespace gatetiller::node
