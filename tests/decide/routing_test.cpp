// Routing: the first matching route determines class, tenant, key and group.
#include "decide/routing.hpp"

#include <gtest/gtest.h>

namespace gatetiller::decide {
namespace {

TEST(Routing, TheFirstRouteThatMatchesDecides) {
    Router r({{"", "batch*", "", "", {}, "load", "", "user", "tag:key=", "tag:group="},
              {"", "", "", "", {"report", "x*"}, "report", "fixed", "", "", ""},
              {"ann", "", "", "", {}, "short", "", "tag:team=", "trace_token", "catalog"}},
             {"a", "ann", "others"});
    StatementTraits t{"ann", "batch-7", "cat", "sch", "trace", {"key=k1", "group=g", "team=a"}};
    auto to = r.route(t);
    EXPECT_EQ(to->cls, "load");
    EXPECT_EQ(to->tenant, "ann");
    EXPECT_EQ(to->key, "k1");
    EXPECT_GT(to->group, 0);
    const auto same = r.route(t)->group;
    t.tags[1] = "group=h";
    EXPECT_NE(r.route(t)->group, same);
    t.source = "cli";
    to = r.route(t);
    EXPECT_EQ(to->cls, "short");
    EXPECT_EQ(to->tenant, "a");
    EXPECT_EQ(to->key, "trace");
    t.tags = {"report", "xyz"};
    EXPECT_EQ(r.route(t)->cls, "report");
    t.tags = {"report"};
    EXPECT_EQ(r.route(t)->tenant, "others");
    t.user = "bob";
    EXPECT_FALSE(r.route(t));
}

}  // namespace
}  // namespace gatetiller::decide
