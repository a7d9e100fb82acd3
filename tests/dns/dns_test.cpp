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
std::string labels(std::initializer_list<std::string_view> list, bool end = true) {
    std::string out;
    for (const auto l : list)
        out.push_back(static_cast<char>(l.size())), out.append(l);
    if (end)
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
std::string answer_message(std::uint16_t id, int flags = 0x8400) {
    std::string m;
    put(m, id, 2), put(m, static_cast<unsigned>(flags), 2);
    for (const int count : {1, 1, 1, 2})
        put(m, static_cast<unsigned>(count), 2);
    m += labels({"_work", "_tcp", "fleet", "local"});
    put(m, 33, 2), put(m, 1, 2);
    const std::string question("\xc0\x0c", 2);
    std::string srv;
    put(srv, 1, 2), put(srv, 40, 2), put(srv, 5050, 2);
    const std::size_t target = m.size() + 12 + 6;
    m += record(question, 33, srv + labels({"S-00c4", "east", "hosts"}));
    std::string soa = labels({"ns"}, false) + question + labels({"admin"});
    put(soa, 41, 4);
    for (int i = 0; i < 4; ++i)
        put(soa, 1, 4);
    m += record(question, 6, soa);
    std::string pointer;
    put(pointer, 0xc000 | target, 2);
    m += record(pointer, 1, std::string("\x0a\x01\0\x09", 4));
    m += record(pointer, 16, labels({"kind=std", "cell=2", "started=0"}, false));
    return m;
}

TEST(Dns, AnAnswerWithCompressedNamesIsRead) {
    const auto a = parse_response(answer_message(77), 77, kName);
    ASSERT_TRUE(a) << a.error();
    EXPECT_EQ(a->serial, 41u);
    ASSERT_EQ(a->srv_records.size(), 1u);
    EXPECT_EQ(a->srv_records[0].target, "s-00c4.east.hosts");
    EXPECT_EQ(a->srv_records[0].priority, 1);
    EXPECT_EQ(a->srv_records[0].weight, 40);
    EXPECT_EQ(a->srv_records[0].port, 5050);
    EXPECT_EQ(a->addresses.at("s-00c4.east.hosts"), "10.1.0.9");
    EXPECT_EQ(a->texts.at("s-00c4.east.hosts"),
              (std::vector<std::string>{"kind=std", "cell=2", "started=0"}));
}

TEST(Dns, WhatIsNoGoodAnswerSaysNothing) {
    EXPECT_FALSE(parse_response(answer_message(77), 78, kName));          // another message id
    EXPECT_FALSE(parse_response(answer_message(77), 77, "_x._tcp.y"));    // another question
    EXPECT_FALSE(parse_response(answer_message(77, 0x0400), 77, kName));  // QR bit not set
    EXPECT_FALSE(parse_response(answer_message(77, 0x8402), 77, kName));  // RCODE 2 (server failure)
    EXPECT_FALSE(parse_response(answer_message(77, 0x8600), 77, kName));  // TC bit set
    EXPECT_FALSE(parse_response(encode_srv_query(77, kName), 77, kName));
    const std::string whole = answer_message(77);
    for (std::size_t n = 0; n < whole.size(); ++n)
        EXPECT_FALSE(parse_response(std::string_view(whole).substr(0, n), 77, kName)) << n;
}

TEST(Dns, ChangedBytesNeverHarm) {
    const std::string whole = answer_message(77);
    int read = 0;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        Random random(seed);
        std::string bad = whole;
        for (std::uint64_t n = 1 + random.below(4); n > 0; --n)
            bad[12 + random.below(bad.size() - 12)] = static_cast<char>(random.next());
        read += static_cast<bool>(parse_response(bad, 77, kName));
    }
    EXPECT_GT(read, 0);  // a corrupted letter or weight is undetectable
}

}  // namespace
}  // namespace gatetiller::dns
