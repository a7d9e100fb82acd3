// The HTTP client while this machine lacks what a connection needs.
#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>

#include "base/await.hpp"
#include "decide/attempt_end.hpp"
#include "http/client.hpp"
#include "net/poll_loop.hpp"
#include "shim/fault_control.hpp"

namespace gatetiller::testing {
namespace {

// The server has seen nothing: a statement that may not be repeated can still go elsewhere.
TEST(HttpClientFaults, ACallThatLackedSomethingHereIsNotCalledBroken) {
    FaultControl& control = *gatetiller_fault_control();
    net::PollLoop loop;
    http::ClientOptions options;
    options.connect_time_out = 100 * kMillisecond;
    const std::pair<Call, int> failing[] = {{Call::socket, EMFILE}, {Call::connect, EADDRNOTAVAIL}};
    for (const auto& [call, error] : failing) {
        control.fail(call, error);
        http::Client client(loop, *net::Address::parse("127.0.0.1:1"), options);
        std::optional<http::CallOutcome> reached;
        auto asked = client.send({"GET", "/", 1, {}, {}, {}}, kSecondMicros, [&](const http::Answer& a) {
            reached = a.outcome;
        });
        ASSERT_TRUE(await(loop, [&] {
            return reached.has_value();
        }));
        control.heal();
        EXPECT_NE(reached, http::CallOutcome::broken) << std::strerror(error);
        EXPECT_NE(reached, http::CallOutcome::timed_out) << std::strerror(error);
    }
}

}  // namespace
}  // namespace gatetiller::testing
