// Updates of the endpoint list while attempts are in flight.
#include "node/endpoint_registry.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, RetriesAttemptsAtTheNewAddressWhenAnEngineMoves) {
    auto& engine = add_engine("s-1");
    start();
    auto& client = add_client();
    client.ask(make_request("lookup", 3'500));
    ASSERT_TRUE(run_until([&] {
        return engine.open() == 1;
    }));
    const Micros started_at = loop.now();
    lab::PlatformEngineSettings other;
    other.name = "s-1", other.at_once = 8;
    lab::PlatformEngine moved(loop, other, records);
    const auto new_address = moved.listen("n0", listen_address(""));
    publish_endpoint("s-1", *new_address);
    ASSERT_TRUE(run_until([&] {
        return moved.open() == 1;
    }));
    EXPECT_LT(loop.now() - started_at, 3 * kSecondMicros);  // not when its own time was up
    client.give_up(1);
    ASSERT_TRUE(run_until([&] {
        return moved.open() == 0 && engine.open() == 0;
    }));
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
