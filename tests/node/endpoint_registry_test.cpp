// Updates of the endpoint list while attempts are in flight.
#include "node/endpoint_registry.hpp"

#include "crossing_rig.hpp"

namespace gatetiller::testing {
namespace {

TEST_F(EventOrderTest, WhatIsOutAtAnEnginesOldAddressEndsAtOnceAndIsTriedAtTheNewOne) {
    auto& e = add_engine("s-1");
    start();
    auto& c = add_client();
    c.ask(make_request("lookup", 3'500));
    ASSERT_TRUE(run_until([&] {
        return e.open() == 1;
    }));
    const Micros since = loop.now();
    lab::PlatformEngineSettings other;
    other.name = "s-1", other.at_once = 8;
    lab::PlatformEngine moved(loop, other, records);
    const auto place = moved.listen("n0", listen_address(""));
    publish_endpoint("s-1", *place);
    ASSERT_TRUE(run_until([&] {
        return moved.open() == 1;
    }));
    EXPECT_LT(loop.now() - since, 3 * kSecondMicros);  // not when its own time was up
    c.give_up(1);
    ASSERT_TRUE(run_until([&] {
        return moved.open() == 0 && e.open() == 0;
    }));
    expect_no_violations();
}

}  // namespace
}  // namespace gatetiller::testing
