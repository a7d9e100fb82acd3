// The codec: what is malformed gets one plain message and a bad exit; what is unknown is passed over.
#include "bench/wire.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "platform/settings.hpp"

using namespace gatetiller;

namespace {
const std::string kSettings =
    R"({"classes":[{"name":"q","aim_us":1000000,"deadline_us":4000000,"effect":"repeatable","new_key":1}],)"
    R"("kinds":["std"],"extra":{"size_cores":[8],"size_mb":[1024],"width_by_class":[2]},"siblings":1,"later":{}})";
const std::string kStart =
    "begin_batch\tat_time_us=1000\ncreate\ti=3\trandom_seed=5\tboot_info=" + kSettings + "\n";
const std::string kList =
    "page\tpage=0\thosts=1\nentry\tstate=on\tfailure_domain=z\ttype=std\tengine=9\tcluster=0\tnew=1\n"
    "backends_changed\ti=3\tversion=1\tpage=0\tform=warm_copy\n";

struct Result {
    int code;
    std::string out, errors;
};
Result run(const std::string& text) {
    std::istringstream in(text);
    std::ostringstream out, errors;
    const int code = wire::serve(in, out, errors);
    return {code, out.str(), errors.str()};
}
}  // namespace

TEST(Wire, AnswersARequest) {
    const auto r =
        run(kStart + kList +
            "demand\ti=3\tcorr=r-1\ttype=q\tgrace_us=4000000\tplan_cost_us=9\nstrange\ti=3\ncommit\n");
    EXPECT_EQ(r.code, 0) << r.errors;
    EXPECT_NE(r.out.find("call_out\ti=3\tcorr=r-1\tengine=9\tmax_wait_us=4000000\n"), std::string::npos)
        << r.out;
    EXPECT_TRUE(r.out.ends_with("yield\n"));
}

TEST(Wire, ReadsSettings) {
    const PolicySettings s = *platform::parse_settings(kSettings);
    ASSERT_EQ(s.classes.size(), 1u);
    EXPECT_EQ(s.classes[0].threads, 2);
    EXPECT_EQ(s.kinds[0].cores, 8);
    EXPECT_FALSE(s.retry_budget_base.has_value());
    EXPECT_FALSE(s.classes[0].allowed_kinds.has_value());
}

TEST(Wire, EmptyBatchAndEndOfInput) {
    const auto r = run("begin_batch\tat_time_us=1\ncommit\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "yield\n");
}

class Malformed : public ::testing::TestWithParam<std::string> {};
TEST_P(Malformed, GetsOneMessageAndABadExit) {
    const auto r = run(kStart + kList + GetParam() + "\ncommit\n");
    EXPECT_NE(r.code, 0);
    EXPECT_NE(r.errors.find("line 6"), std::string::npos) << r.errors;
    EXPECT_EQ(std::count(r.errors.begin(), r.errors.end(), '\n'), 1);
    EXPECT_EQ(r.out, "");
}
INSTANTIATE_TEST_SUITE_P(Lines, Malformed,
                         ::testing::Values("demand\ti=3\tcorr", "demand\ti=4\tcorr=r\ttype=q\tgrace_us=1",
                                           "demand\ti=3\ttype=q\tgrace_us=1", "bell\ti=3\tname=x",
                                           "peer_data\ti=3\torigin_peer=1\tbytes=abc",
                                           "peer_data\ti=3\torigin_peer=1\tbytes=ab!d",
                                           "completed\ti=3\tcorr=r\thop=0\tengine=9\treason=odd",
                                           "create\ti=5\trandom_seed=1\tboot_info={",
                                           "page\tpage=16\thosts=0", "begin_batch\tat_time_us=2"));

TEST(Base64, RoundTrips) {
    for (const std::string bytes : {"", "a", "ab", "abc", "hi 7"})
        EXPECT_EQ(wire::decode_base64(wire::encode_base64(bytes)), bytes);
    EXPECT_EQ(wire::encode_base64("hi 7"), "aGkgNw==");
    EXPECT_THROW(wire::decode_base64("a=bc"), wire::WireError);
}
