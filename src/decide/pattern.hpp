// Matching of the patterns in routes and teams: `*` stands for any run of characters, and an empty pattern
// matches everything.
#pragma once

#include <algorithm>

#include "base/text.hpp"

namespace gatetiller::decide {

// Whether `pattern` matches all of `text`.
inline bool pattern_matches(std::string_view pattern, std::string_view text) {
    return pattern.empty() || glob_matches(pattern, text);
}

// Whether each of `patterns` matches at least one of `tags`.
template <typename Patterns, typename Tags>
bool tags_match(const Patterns& patterns, const Tags& tags) {
    return std::all_of(patterns.begin(), patterns.end(), [&](const auto& pattern) {
        return std::any_of(tags.begin(), tags.end(), [&](std::string_view tag) {
            return glob_matches(pattern, tag);
        });
    });
}

}  // namespace gatetiller::decide
