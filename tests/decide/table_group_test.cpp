// The table group of an SQL statement, from its schema names.
#include "decide/table_group.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace gatetiller::decide {
namespace {

TEST(TableGroup, IsTheNumberOfTheSchema) {
    const std::pair<const char*, int> cases[] = {
        {"SELECT * FROM sales_17.orders", 17},
        {"select a from meters_4.day d join sales_17.orders o on d.id = o.id", 4},
        {"INSERT INTO sales_9.orders SELECT * FROM staging.orders", 9},
        {"SELECT 'from x_3.y', a FROM /* x_4.z */ sales_5.t -- x_6.z", 5},
        {"SELECT 'it''s from x_3.y' FROM \"sales_8\".\"t\"", 8},
        {"SELECT t_2.c FROM sales_5.t AS t_2", 5},
        {"SELECT * FROM hive.sales_12.orders", 12},
        {"SELECT 1.5, 2 FROM plain.t", 0},
        {"UPDATE archive_03.t SET a = 1", 3},
        {"SELECT 1", 0},
        {"", 0},
        {"SELECT 'never ended FROM sales_5.t", 0},
        {"/* never ended FROM sales_5.t", 0},
        {"SELECT * FROM a_99999999999999999999.t", 0},
    };
    for (const auto& [sql, group] : cases)
        EXPECT_EQ(table_group(sql), group) << sql;
}

}  // namespace
}  // namespace gatetiller::decide
