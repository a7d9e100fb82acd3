// Limits derived from the descriptors and the memory of a machine.
#include "decide/resource_limits.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(ResourceLimits, StayWithinTheMachine) {
    for (const std::int64_t descriptors : {16, 64, 256, 384, 1024, 4096}) {
        const auto limits = derive_limits(descriptors, 32);
        EXPECT_LT(limits.client_connections + limits.engine_connections,
                  static_cast<std::size_t>(descriptors))
            << descriptors;
        EXPECT_GE(limits.client_connections, static_cast<std::size_t>(descriptors) / 4) << descriptors;
        EXPECT_GT(limits.engine_connections, 0u);
    }
    EXPECT_LE(derive_limits(256, 32).statement_bytes, 32u << 18);
}

// Guards against shares that together exceed the memory: a quarter is left for everything else.
TEST(ResourceLimits, SharesOfTheMemoryFitIntoThreeQuarters) {
    constexpr std::size_t kBytesPerRequest = 8192;
    for (const std::int64_t memory_mb : {32, 48, 192, 2048}) {
        const auto limits = derive_limits(1024, memory_mb);
        const std::size_t shares = limits.statement_bytes + limits.requests * kBytesPerRequest +
                                   limits.input_bytes + limits.result_bytes + limits.total_unsent_bytes;
        EXPECT_LE(shares, static_cast<std::size_t>(memory_mb) * 3 / 4 << 20) << memory_mb;
    }
}

}  // namespace
}  // namespace gatetiller::decide
