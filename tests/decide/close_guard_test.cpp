// CloseGuard: each invariant rejects exactly the closes that violate it.
#include "decide/close_guard.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace gatetiller::decide {
namespace {

TEST(CloseGuardTest, ARestingConnectionIsClosedAndNoOther) {
    for (const auto reason : {CloseReason::evicted, CloseReason::request_timeout, CloseReason::shutdown}) {
        EXPECT_EQ(CloseGuard::find_violation({}, reason), std::nullopt);
        EXPECT_TRUE(CloseGuard::permit({}, reason));
        EXPECT_EQ(CloseGuard::find_violation({.open_requests = 1}, reason),
                  Invariant::close_with_request_open);
        EXPECT_EQ(CloseGuard::find_violation({.has_unsent = true}, reason),
                  Invariant::close_with_response_unsent);
        EXPECT_EQ(CloseGuard::find_violation({.has_unread = true}, reason),
                  Invariant::close_over_unread_bytes);
        EXPECT_FALSE(CloseGuard::permit({.has_unread = true}, reason));
    }
    // Requests read before a malformed message need a final response; bytes after it cannot be parsed.
    EXPECT_EQ(CloseGuard::find_violation({.open_requests = 1}, CloseReason::malformed),
              Invariant::close_with_request_open);
    EXPECT_TRUE(CloseGuard::permit({.has_unsent = true, .has_unread = true}, CloseReason::malformed));
    // These reasons permit a close in any state.
    for (const auto reason : {CloseReason::peer_closed, CloseReason::slow_reader, CloseReason::linger_timeout,
                              CloseReason::process_exit})
        EXPECT_TRUE(CloseGuard::permit({.open_requests = 1, .has_unsent = true, .has_unread = true}, reason))
            << name_of(reason);
}

}  // namespace
}  // namespace gatetiller::decide
