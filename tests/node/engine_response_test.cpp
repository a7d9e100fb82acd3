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

}  // namespace
}  // namespace gatetiller::node
