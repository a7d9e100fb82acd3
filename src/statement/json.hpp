// Splits a JSON object into its members without building a tree: a page of rows passes through a front as the
// bytes that the engine wrote. The whole text is checked against RFC 8259 on the way, so that nothing broken
// is passed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"

namespace gatetiller::statement {

struct Member {
    std::string key;
    std::string_view raw;  // the value as it stands in the text
};

// Returns the members of the one object that the text holds. Fails if the text is not an object, is deeper
// than 100 levels, or names a member twice: parsers differ in which of the two they use.
Result<std::vector<Member>> members(std::string_view text);
// How many elements an array holds, as text that members() has checked.
std::size_t array_length(std::string_view raw);

// A value as text: a string without its quotes and escapes. Nothing for another kind of value.
std::optional<std::string> as_string(std::string_view raw);
// A value as a boolean. Nothing for another kind of value.
std::optional<bool> as_bool(std::string_view raw);
std::string json_string(std::string_view text);  // as a JSON string

}  // namespace gatetiller::statement
