// Patterns as routes and teams have them: `*` for any run of characters; an empty one fits everything.
#pragma once

#include <algorithm>

#include "base/text.hpp"

namespace gatetiller::decide {

inline bool pattern_fits(std::string_view pattern, std::string_view text) {
    return pattern.empty() || glob_matches(pattern, text);
}

// Each pattern fits some tag.
template <typename Patterns, typename Tags>
bool patterns_fit(const Patterns& patterns, const Tags& tags) {
    return std::all_of(patterns.begin(), patterns.end(), [&](const auto& wanted) {
        return std::any_of(tags.begin(), tags.end(), [&](std::string_view tag) {
            return glob_matches(wanted, tag);
        });
    });
}

}  // namespace gatetiller::decide
