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

// Records of uncompressed names, by section.
struct Sections {
    std::vector<std::string> answers;
    std::vector<std::string> authority;
    std::vector<std::string> additional;
};
std::string message_of(const Sections& sections) {
    std::string message;
    put(message, 77, 2), put(message, 0x8400, 2), put(message, 1, 2);
    for (const auto* section : {&sections.answers, &sections.authority, &sections.additional})
        put(message, section->size(), 2);
    message += labels({"_work", "_tcp", "fleet", "local"});
    put(message, 33, 2), put(message, 1, 2);
    for (const auto* section : {&sections.answers, &sections.authority, &sections.additional})
        for (const auto& each : *section)
            message += each;
    return message;
}
const std::string kOwner = labels({"_work", "_tcp", "fleet", "local"});
const std::string kTarget = labels({"s-1", "east", "hosts"});
std::string soa_record(std::uint32_t serial) {
    std::string data = labels({"ns"}) + labels({"admin"});
    put(data, serial, 4);
    for (int i = 0; i < 4; ++i)
        put(data, 1, 4);
    return record(kOwner, 6, data);
}
std::string srv_record(const std::string& target) {
    std::string data;
    put(data, 0, 2), put(data, 10, 2), put(data, 5050, 2);
    return record(kOwner, 33, data + target);
}
std::string a_record(std::string_view address) {
    return record(kTarget, 1, std::string(address));
}

Result<Response> parse(const Sections& sections) {
    return parse_response(message_of(sections), 77, kName);
}

// Guards against a serial or an address that depends on the order of contradicting records.
TEST(Dns, RejectsRepeatedRecordsThatMustOccurOnce) {
    const std::string one("\x0a\x01\x00\x09", 4);
    const std::string other("\x0a\x01\x00\x08", 4);
    const auto valid = parse({{srv_record(kTarget)}, {soa_record(41)}, {a_record(one), a_record(one)}});
    ASSERT_TRUE(valid) << valid.error();
    EXPECT_EQ(valid->serial, 41u);
    EXPECT_EQ(valid->addresses.at("s-1.east.hosts"), "10.1.0.9");
    EXPECT_FALSE(parse({{srv_record(kTarget)}, {soa_record(41)}, {a_record(one), a_record(other)}}));
    EXPECT_FALSE(parse({{srv_record(kTarget)}, {soa_record(41), soa_record(42)}, {a_record(one)}}));
    EXPECT_FALSE(parse({{srv_record(kTarget)}, {soa_record(41), soa_record(41)}, {a_record(one)}}));
    EXPECT_FALSE(parse({{srv_record(kTarget)}, {}, {a_record(one)}}));
}

// Guards against the serial of an SOA record outside the authority section, which is not that of the list.
TEST(Dns, ReadsTheSerialOfTheAuthoritySectionOnly) {
    const auto response = parse({{soa_record(7)}, {soa_record(41)}, {soa_record(9)}});
    ASSERT_TRUE(response) << response.error();
    EXPECT_EQ(response->serial, 41u);
    EXPECT_FALSE(parse({{soa_record(7)}, {}, {soa_record(9)}}));
}

TEST(Dns, RejectsRecordsOfAWrongLength) {
    const auto parse_records = [](const std::string& answer, const std::string& authority,
                                  const std::string& additional) {
        return parse({{answer}, {authority}, {additional}});
    };
    const std::string address = a_record(std::string("\x0a\x01\x00\x09", 4));
    EXPECT_TRUE(parse_records(srv_record(kTarget), soa_record(41), address));
    EXPECT_FALSE(parse_records(srv_record(kTarget + "x"), soa_record(41), address));
    EXPECT_FALSE(parse_records(record(kOwner, 33, std::string(6, '\0')), soa_record(41), address));
    EXPECT_FALSE(parse_records(srv_record(kTarget),
                               record(kOwner, 6, labels({"ns"}) + labels({"a"}) + "1234"), address));
    EXPECT_FALSE(parse_records(srv_record(kTarget), soa_record(41), a_record("\x0a\x01")));
    EXPECT_FALSE(parse_records(srv_record(kTarget), soa_record(41), a_record("12345")));
    EXPECT_FALSE(parse_records(srv_record(kTarget), soa_record(41), record(kTarget, 16, "\x09short")));
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
