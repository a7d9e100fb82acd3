// The group of tables that a statement reads or writes, by the platform's naming convention: the number after
// the last underscore in a schema's name.
#pragma once

#include <cstdint>
#include <string_view>

namespace gatetiller::decide {

// The group of the first table name after FROM, JOIN, INTO, UPDATE or TABLE whose schema has one; failing
// that, of the first dotted name that has one (which may be an alias with its column); 0 where there is none.
// 17 for `sales_17.orders`. Strings, comments and the schema `staging` have no group. Any text is valid
// input.
std::int64_t table_group(std::string_view sql);

}  // namespace gatetiller::decide
