// Endpoints in DNS records that are missing, unreadable, repeated or out of range.
#include "discovery/dns_endpoints.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <limits>

namespace gatetiller::discovery {
namespace {

constexpr const char* kFirst = "s-1.east.hosts";
constexpr const char* kSecond = "s-2.east.hosts";

// A response with two endpoints; the first one is draining.
dns::Response valid_response() {
    dns::Response response;
    response.serial = 41;
    response.srv_records = {{1, 40, 5050, kFirst}, {0, 10, 5051, kSecond}};
    response.addresses = {{kFirst, "10.1.0.9"}, {kSecond, "10.1.0.8"}};
    response.texts = {{kFirst, {"kind=std", "cell=2", "started=0"}},
                      {kSecond, {"kind=big", "cell=3", "started=1764806400000", "unknown=1", "no value"}}};
    return response;
}

// Returns the error of the valid response with this change, or "none".
std::string error_with(const std::function<void(dns::Response&)>& change) {
    auto response = valid_response();
    change(response);
    const auto endpoints = read_endpoints(response);
    return endpoints ? "none" : endpoints.error();
}

TEST(DnsEndpoints, ReadsEachEndpointWithItsAttributes) {
    const auto endpoints = read_endpoints(valid_response());
    ASSERT_TRUE(endpoints) << endpoints.error();
    ASSERT_EQ(endpoints->size(), 2u);
    const auto& first = endpoints->at(0);
    EXPECT_EQ(first.name, "s-1");
    EXPECT_EQ(first.zone, "east");
    EXPECT_EQ(first.address, "10.1.0.9:5050");
    EXPECT_EQ(first.state, EndpointState::draining);
    EXPECT_EQ(first.kind, "std");
    EXPECT_EQ(first.cell, 2);
    EXPECT_EQ(first.share, 4);
    EXPECT_EQ(first.started_at, 0);
    const auto& second = endpoints->at(1);
    EXPECT_EQ(second.state, EndpointState::ready);
    EXPECT_EQ(second.started_at, 1'764'806'400 * kSecondMicros);
    EXPECT_TRUE(read_endpoints({}));
}

// Guards against a start that cannot be read counting as long ago, which overloads an engine in slow start,
// and against a cell that cannot be read counting as cell 0, where a keyed request may be repeated.
TEST(DnsEndpoints, AttributesThatCannotBeReadMakeTheListUnusable) {
    for (const char* invalid :
         {"started=", "started=now", "started=17648064x0000", "started=-1", "started=1.5e12", "started=nan",
          "started=99999999999999999999", "started=9223372036854775807", "started=253402300800000"})
        EXPECT_NE(error_with([&](dns::Response& response) {
                      response.texts[kSecond][2] = invalid;
                  }),
                  "none")
            << invalid;
    for (const char* invalid : {"cell=", "cell=two", "cell=2x", "cell=2.0", "cell=99999999999999999999"})
        EXPECT_NE(error_with([&](dns::Response& response) {
                      response.texts[kSecond][1] = invalid;
                  }),
                  "none")
            << invalid;
    for (const char* repeated : {"kind=std", "cell=2", "cell=4", "started=0"})
        EXPECT_NE(error_with([&](dns::Response& response) {
                      response.texts[kFirst].emplace_back(repeated);
                  }),
                  "none")
            << repeated;
}

// An attribute that no endpoint has is not told by this name service; one that only some have got lost.
TEST(DnsEndpoints, AttributesThatOnlySomeEndpointsHaveMakeTheListUnusable) {
    for (std::size_t attribute = 0; attribute < 3; ++attribute)
        EXPECT_NE(error_with([&](dns::Response& response) {
                      response.texts[kFirst].erase(response.texts[kFirst].begin() +
                                                   static_cast<std::ptrdiff_t>(attribute));
                  }),
                  "none")
            << attribute;
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.texts.erase(kSecond);
              }),
              "none");
    EXPECT_EQ(error_with([](dns::Response& response) {
                  response.texts.clear();
              }),
              "none");
}

TEST(DnsEndpoints, ServicesThatCannotBeUsedMakeTheListUnusable) {
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.srv_records[0].target = "s-1";
              }),
              "none");
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.srv_records[0].port = 0;
              }),
              "none");
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.addresses.erase(kFirst);
              }),
              "none");
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.srv_records.push_back(response.srv_records[0]);
              }),
              "none");
    EXPECT_NE(error_with([](dns::Response& response) {
                  response.srv_records.push_back({0, 40, 5050, "s-1.west.hosts"});
                  response.addresses["s-1.west.hosts"] = "10.1.0.7";
                  response.texts["s-1.west.hosts"] = response.texts[kFirst];
              }),
              "none");
}

// A priority that the protocol does not have keeps requests away from the endpoint.
TEST(DnsEndpoints, UnknownPriorityIsDraining) {
    for (const std::uint16_t priority : {std::uint16_t{2}, std::numeric_limits<std::uint16_t>::max()}) {
        auto response = valid_response();
        response.srv_records[1].priority = priority;
        const auto endpoints = read_endpoints(response);
        ASSERT_TRUE(endpoints);
        EXPECT_EQ(endpoints->at(1).state, EndpointState::draining);
    }
}

}  // namespace
}  // namespace gatetiller::discovery
