// Validation of the fields and the statement of a client's request.
#include "decide/client_request.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>

namespace gatetiller::decide {
namespace {

PolicySettings settings() {
    PolicySettings s;
    ClassSettings lookup, load;
    lookup.name = "lookup", lookup.deadline = 4 * kSecondMicros, lookup.idempotency = Idempotency::idempotent;
    load.name = "load", load.deadline = 9 * kSecondMicros, load.idempotency = Idempotency::keyed;
    s.classes = {lookup, load};
    s.tenants = {{"acme", 1, 1}};
    return s;
}

TEST(ClientRequest, OnlyWhatIsWholeAndInRangeGetsBeforeTheModule) {
    const PolicySettings s = settings();
    const std::map<std::string, std::string> good{{"route", "lookup"},  {"trace", "9b1f03aa5c7e2d41"},
                                                  {"customer", "acme"}, {"patience", "1500"},
                                                  {"weight", "820.5"},  {"heap_mb", "96"}};
    const auto with = [&](std::map<std::string, std::string> changes, std::string body = "SELECT 1") {
        auto fields = good;
        for (auto& [name, value] : changes)
            fields[name] = value;
        return check_request(fields, body, s);
    };
    const auto fine = with({});
    ASSERT_TRUE(fine) << fine.error();
    EXPECT_EQ(fine->cls->name, "lookup");
    EXPECT_EQ(fine->client_timeout, 1500 * kMillisecond);
    EXPECT_EQ(fine->estimated_work, 820'500);
    EXPECT_EQ(fine->estimated_memory_mb, 96);
    EXPECT_TRUE(with({{"route", "load"}, {"nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}}));
    EXPECT_TRUE(with({}, "SELECT 'h\xc3\xa9'"));
    const std::pair<const char*, const char*> wrong[] = {{"trace", ""},
                                                         {"trace", "9b1f03aa5c7e2d4"},
                                                         {"trace", "9b1f03aa5c7e2d4x"},
                                                         {"route", "nosuch"},
                                                         {"route", ""},
                                                         {"customer", ""},
                                                         {"customer", "nobody"},
                                                         {"patience", ""},
                                                         {"patience", "0"},
                                                         {"patience", "-5"},
                                                         {"patience", "1e3"},
                                                         {"patience", "99999999"},
                                                         {"patience", "99999999999999999999"},
                                                         {"weight", "nan"},
                                                         {"weight", "inf"},
                                                         {"weight", "-1"},
                                                         {"weight", "much"},
                                                         {"weight", "1e300"},
                                                         {"heap_mb", "-1"},
                                                         {"heap_mb", "x"},
                                                         {"nonce", "short"},
                                                         {"route", "load"}};
    for (const auto& [name, value] : wrong) {
        const auto r = with({{name, value}});
        ASSERT_FALSE(r) << name << "=" << value;
        EXPECT_NE(
            r.error().find(std::string(name) == "route" && std::string(value) == "load" ? "nonce" : name),
            std::string::npos)
            << r.error();
    }
    for (const std::string& body : {std::string(), std::string(kMaxStatementBytes + 1, 'x'),
                                    std::string("a\0b", 3), std::string("\xff\xfe"), std::string("\xc0\x80"),
                                    std::string("\xed\xa0\x80"), std::string("\xe2\x82")})
        EXPECT_FALSE(with({}, body));
}

}  // namespace
}  // namespace gatetiller::decide
