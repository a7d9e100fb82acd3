// The part of a client's timeout that is left for a request.
#include "decide/client_time_left.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(Patience, TheReserveTakesAtMostATenth) {
    EXPECT_EQ(client_time_left(10'000'000, 0, 50'000), 9'950'000);
    EXPECT_EQ(client_time_left(100'000, 0, 50'000), 90'000);
    EXPECT_EQ(client_time_left(10'000'000, 600'000, 50'000), 9'350'000);
    EXPECT_EQ(client_time_left(500'000, 600'000, 50'000), 0);
}

}  // namespace
}  // namespace gatetiller::decide
