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

}  // namespace
}  // namespace gatetiller::decide
