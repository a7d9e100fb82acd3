// Text helpers: trimming, splitting, number parsing, hashing, glob patterns. ASCII only.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gatetiller {

inline char to_ascii_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

inline bool equals_ignore_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return to_ascii_lower(x) == to_ascii_lower(y);
           });
}

// Removes leading and trailing spaces and tabs.
inline std::string_view trimmed(std::string_view text) {
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos)
        return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

// Returns the trimmed parts between separators, without empty ones.
inline std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; at <= text.size();) {
        const std::size_t end = std::min(text.find(separator, at), text.size());
        if (const auto part = trimmed(text.substr(at, end - at)); !part.empty())
            parts.push_back(part);
        at = end + 1;
    }
    return parts;
}

// Parses the complete text as a number. Returns nullopt if any of it is not part of the number.
template <typename T>
std::optional<T> to_number(std::string_view text) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

// Parses the complete text as a number from `least` to `most`. Returns nullopt if it is not a number or, as a
// NaN and an infinity, not within that range.
template <typename T>
std::optional<T> to_number_in(std::string_view text, T least, T most) {
    const auto value = to_number<T>(text);
    return value && *value >= least && *value <= most ? value : std::nullopt;
}

// FNV-1a hash, with the same result on every platform. Different seeds give different hash functions.
inline std::uint64_t fnv1a_hash(std::string_view text, std::uint64_t seed = 0) {
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

// Returns whether `text` matches `pattern`, in which `*` matches any sequence of characters and every other
// character matches itself. Backtracks only to the last `*`, so it takes at most pattern size times text size
// steps.
inline bool glob_matches(std::string_view pattern, std::string_view text) {
    std::size_t pattern_at = 0;
    std::size_t text_at = 0;
    std::size_t last_star = std::string_view::npos;
    std::size_t retry_at = 0;
    while (text_at < text.size()) {
        const bool more = pattern_at < pattern.size();
        if (more && pattern[pattern_at] == '*') {
            last_star = pattern_at;
            ++pattern_at;
            retry_at = text_at;
        } else if (more && pattern[pattern_at] == text[text_at]) {
            ++pattern_at;
            ++text_at;
        } else if (last_star != std::string_view::npos) {
            pattern_at = last_star + 1;
            ++retry_at;
            text_at = retry_at;
        } else {
            return false;
        }
    }
    return pattern.find_first_not_of('*', pattern_at) == std::string_view::npos;
}

}  // namespace gatetiller
