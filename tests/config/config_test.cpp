#include <gtest/gtest.h>

#include "config/reader.hpp"
#include "config/settings.hpp"

namespace gatetiller::config {
namespace {

const std::string kGood = R"(local g = import 'gatetiller.libsonnet';
// a comment with { braces
g.front('one') {
  listen: ['127.0.0.1:0'],
  classes: {
    short: g.class('500ms', '5s') {
      late_share: 0.5,
    },
    keyed: g.class('3s', '8s', 'by_key') { window: '20s' },
  },
  tenants: { a: g.tenant(0.5), rest: g.tenant(0.5) },
  kinds: { std: g.kind(8, '16GiB') },
  engines: {
    e1: g.engine('127.0.0.1:9001'),
  },
  routes: [
    g.route('keyed', { tags: ['k*'] }),
    g.route('short'),
  ],
}
)";

std::string changed(const std::string& from, const std::string& to) {
    std::string text = kGood;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string mistake(const std::string& text) {
    const auto loaded = load_front_text("f.jsonnet", text);
    return loaded ? "" : loaded.error();
}

TEST(Config, ReadsTheWholeOfAFront) {
    const auto loaded = load_front_text("f.jsonnet", kGood);
    ASSERT_TRUE(loaded) << loaded.error();
    const auto& f = loaded->front;
    ASSERT_EQ(f.module.classes.size(), 2u);
    EXPECT_EQ(f.module.classes[0].name, "keyed");
    EXPECT_EQ(f.module.classes[0].idempotency, Idempotency::keyed);
    EXPECT_EQ(f.module.classes[0].key_window, 20 * kSecondMicros);
    EXPECT_EQ(f.module.kinds.at(0).memory_mb, 16384);
    EXPECT_EQ(f.engines.at(0).address.port, 9001);
    EXPECT_EQ(f.module.max_attempts, 4);
    EXPECT_TRUE(f.module.can_cancel);
}

TEST(Config, EveryMistakeIsToldWithItsLineAndWhatIsAllowed) {
    const std::vector<std::tuple<std::string, std::string, std::vector<std::string>>> kMistakes = {
        {"late_share: 0.5",
         "late_shar: 0.5",
         {"f.jsonnet:7:", "classes.short.late_shar", "did you mean 'late_share'?"}},
        {"late_share: 0.5", "late_share: 5", {"f.jsonnet:7:", "out of range", "0.0 to 1.0"}},
        {"'500ms'", "'500'", {"f.jsonnet:6:", "the unit is missing", "us, ms, s, m, h, d"}},
        {"'500ms'", "500", {"f.jsonnet:6:", "must be a time with its unit"}},
        {"'500ms'", "'50s'", {"f.jsonnet:6:", "must not be shorter than the aim"}},
        {"'by_key') { window: '20s' }", "'by_key')", {"f.jsonnet:9:", "for how long engines drop a repeat"}},
        {"'by_key'", "'twice'", {"f.jsonnet:9:", "'repeatable', 'by_key', 'once'"}},
        {"'16GiB'", "'16 gigs'", {"f.jsonnet:12:", "GiB"}},
        {"127.0.0.1:9001", "engine-1:9001", {"f.jsonnet:14:", "not an IPv4 address"}},
        {"g.engine('127.0.0.1:9001')",
         "g.engine('127.0.0.1:9001', 'huge')",
         {"f.jsonnet:13:", "'huge'", "'kinds' does not define"}},
        {"g.route('short')",
         "g.route('shorty')",
         {"f.jsonnet:18:", "'shorty' is not defined", "keyed, short"}},
        {"listen: [", "lisen: [", {"f.jsonnet:4:", "did you mean 'listen'?"}},
        {"listen: ['127.0.0.1:0']", "listen: []", {"listen"}},
        {"g.tenant(0.5),", "g.tenant('x'),", {"f.jsonnet:11:", "must be a number"}},
        {"routes: [", "routs: [", {"'routes' is missing", "f.jsonnet:16:"}},
        {"g.front('one')", "g.frnt('one')", {"f.jsonnet:3", "field does not exist: frnt"}},
        {"classes: {", "classes: {,", {"f.jsonnet:5:"}},
    };
    for (const auto& [from, to, expected] : kMistakes) {
        const auto told = mistake(changed(from, to));
        EXPECT_NE(told, "") << to;
        for (const auto& part : expected)
            EXPECT_NE(told.find(part), std::string::npos) << to << " gave: " << told << " without " << part;
    }
}

TEST(Config, AllMistakesAreToldAtOnce) {
    auto text = changed("late_share: 0.5", "late_shar: 0.5");
    text.replace(text.find("'16GiB'"), 7, "'16'");
    const auto told = mistake(text);
    EXPECT_EQ(std::count(told.begin(), told.end(), '\n'), 1);
}

TEST(Config, AListOfEnginesIsCheckedToo) {
    EXPECT_EQ(read_engine_list(R"({"engines": {"a": {"address": "127.0.0.1:1", "state": "fading"}}})", "list")
                  ->at(0)
                  .state,
              EndpointState::draining);
    for (const char* bad :
         {"{", "[]", "{}", R"({"engines": {"a": {}}})", R"({"engines": {"a": {"address": "x"}}})",
          R"({"engines": {"a": {"address": "127.0.0.1:1", "state": "up"}}})"})
        EXPECT_FALSE(read_engine_list(bad, "list")) << bad;
}

TEST(Config, TheExamplesAreFine) {
    for (const char* name : {"front.jsonnet"}) {
        const auto loaded = load_front(std::string(GATETILLER_EXAMPLES) + "/" + name);
        EXPECT_TRUE(loaded) << loaded.error();
    }
}

}  // namespace
}  // namespace gatetiller::config
