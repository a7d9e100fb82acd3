// Limits derived from the descriptors and the memory of a machine.
#include "decide/resource_limits.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(NodeBounds, StayWithinTheMachine) {
    for (const std::int64_t sockets : {16, 64, 256, 384, 1024, 4096}) {
        const auto b = derive_limits(sockets, 32);
        EXPECT_LT(b.client_connections + b.engine_connections, static_cast<std::size_t>(sockets)) << sockets;
        EXPECT_GE(b.client_connections, static_cast<std::size_t>(sockets) / 4) << sockets;
        EXPECT_GT(b.engine_connections, 0u);
    }
    EXPECT_LE(derive_limits(256, 32).statement_bytes, 32u << 18);
}

}  // namespace
}  // namespace gatetiller::decide
