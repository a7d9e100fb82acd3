// DNS responses: with compressed names, truncated at every byte, and corrupted.
#include "dns/dns.hpp"

#include <gtest/gtest.h>

#include "base/random.hpp"

namespace gatetiller::dns {
namespace {

const std::string kName = "_work._tcp.fleet.local";

void put(std::string& to, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        to.push_back(static_cast<char>(value >> shift & 0xff));
}
std::string labels(std::initializer_list<std::string_view> list, bool terminated = true) {
    std::string out;
    for (const auto label : list)
        out.push_back(static_cast<char>(label.size())), out.append(label);
    if (terminated)
        out.push_back('\0');
    return out;
}
std::string record(const std::string& owner, int type, const std::string& data) {
    std::string out = owner;
    put(out, static_cast<unsigned>(type), 2), put(out, 1, 2), put(out, 5, 4), put(out, data.size(), 2);
    return out + data;
}

// A response with one SRV record, its SOA, A and TXT records; names are compressed to the question and to the
// SRV target.
std::string response_message(std::uint16_t id, int flags = 0x8400) {
    std::string message;
    put(message, id, 2), put(message, static_cast<unsigned>(flags), 2);
    for (const int count : {1, 1, 1, 2})
        put(message, static_cast<unsigned>(count), 2);
    message += labels({"_work", "_tcp", "fleet", "local"});
    put(message, 33, 2), put(message, 1, 2);
    const std::string question("\xc0\x0c", 2);
    std::string srv;
    put(srv, 1, 2), put(srv, 40, 2), put(srv, 5050, 2);
    const std::size_t target = message.size() + 12 + 6;
    message += record(question, 33, srv + labels({"S-00c4", "east", "hosts"}));
    std::string soa = labels({"ns"}, false) + question + labels({"admin"});
    put(soa, 41, 4);
    for (int i = 0; i < 4; ++i)
        put(soa, 1, 4);
    message += record(question, 6, soa);
    std::string pointer;
    put(pointer, 0xc000 | target, 2);
    message += record(pointer, 1, std::string("\x0a\x01\0\x09", 4));
    message += record(pointer, 16, labels({"kind=std", "cell=2", "started=0"}, false));
    return message;
}

TEST(Dns, ParsesResponseWithCompressedNames) {
    const auto response = parse_response(response_message(77), 77, kName);
    ASSERT_TRUE(response) << response.error();
    EXPECT_EQ(response->serial, 41u);
    ASSERT_EQ(response->srv_records.size(), 1u);
    EXPECT_EQ(response->srv_records[0].target, "s-00c4.east.hosts");
    EXPECT_EQ(response->srv_records[0].priority, 1);
    EXPECT_EQ(response->srv_records[0].weight, 40);
    EXPECT_EQ(response->srv_records[0].port, 5050);
    EXPECT_EQ(response->addresses.at("s-00c4.east.hosts"), "10.1.0.9");
    EXPECT_EQ(response->texts.at("s-00c4.east.hosts"),
              (std::vector<std::string>{"kind=std", "cell=2", "started=0"}));
}

TEST(Dns, RejectsUnrelatedTruncatedAndErrorResponses) {
    EXPECT_FALSE(parse_response(response_message(77), 78, kName));          // another message id
    EXPECT_FALSE(parse_response(response_message(77), 77, "_x._tcp.y"));    // another question
    EXPECT_FALSE(parse_response(response_message(77, 0x0400), 77, kName));  // QR bit not set
    EXPECT_FALSE(parse_response(response_message(77, 0x8402), 77, kName));  // RCODE 2 (server failure)
    EXPECT_FALSE(parse_response(response_message(77, 0x8600), 77, kName));  // TC bit set
    EXPECT_FALSE(parse_response(encode_srv_query(77, kName), 77, kName));
    const std::string complete = response_message(77);
    for (std::size_t n = 0; n < complete.size(); ++n)
        EXPECT_FALSE(parse_response(std::string_view(complete).substr(0, n), 77, kName)) << n;
}

TEST(Dns, SurvivesCorruptedBytes) {
    const std::string complete = response_message(77);
    int parsed_messages = 0;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string corrupted = complete;
        for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
            corrupted[12 + random.below(corrupted.size() - 12)] = static_cast<char>(random.next());
        parsed_messages += static_cast<bool>(parse_response(corrupted, 77, kName));
    }
    EXPECT_GT(parsed_messages, 0);  // a corrupted letter or weight is undetectable
}

}  // namespace
}  // namespace gatetiller::dns
