// Which group of tables a statement reads or writes, by the platform's naming: the number behind the
// underscore in the name of a schema.
#pragma once

#include <cstdint>
#include <string_view>

namespace gatetiller::decide {

// 17 of `sales_17.orders`; 0 where no schema tells one. What stands in strings and comments does not count,
// nor does the schema `staging`. A name behind FROM, JOIN, INTO, UPDATE or TABLE goes before others that look
// like one, such as an alias and its column.
std::int64_t table_group(std::string_view sql);

}  // namespace gatetiller::decide
