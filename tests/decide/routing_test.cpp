// Routing: the first matching route determines class, tenant, key and group.
#include "decide/routing.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(Routing, FirstMatchingRouteDecides) {
    Router router({{"", "batch*", "", "", {}, "load", "", "user", "tag:key=", "tag:group="},
                   {"", "", "", "", {"report", "x*"}, "report", "fixed", "", "", ""},
                   {"ann", "", "", "", {}, "short", "", "tag:team=", "trace_token", "catalog"}},
                  {"a", "ann", "others"});
    StatementTraits traits{"ann", "batch-7", "cat", "sch", "trace", {"key=k1", "group=g", "team=a"}};
    auto result = router.route(traits);
    EXPECT_EQ(result->cls, "load");
    EXPECT_EQ(result->tenant, "ann");
    EXPECT_EQ(result->key, "k1");
    EXPECT_GT(result->group, 0);
    const auto group = router.route(traits)->group;
    traits.tags[1] = "group=h";
    EXPECT_NE(router.route(traits)->group, group);
    traits.source = "cli";
    result = router.route(traits);
    EXPECT_EQ(result->cls, "short");
    EXPECT_EQ(result->tenant, "a");
    EXPECT_EQ(result->key, "trace");
    traits.tags = {"report", "xyz"};
    EXPECT_EQ(router.route(traits)->cls, "report");
    traits.tags = {"report"};
    EXPECT_EQ(router.route(traits)->tenant, "others");
    traits.user = "bob";
    EXPECT_FALSE(router.route(traits));
}

}  // namespace
}  // namespace gatetiller::decide
