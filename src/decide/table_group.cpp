#include "decide/table_group.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

struct Token {
    std::string text;  // a name, or a single character
    bool name = false, quoted = false;
};

bool starts_name(char c) {
    return (to_ascii_lower(c) >= 'a' && to_ascii_lower(c) <= 'z') || c == '_' || (c & 0x80) != 0;
}
bool in_name(char c) {
    return starts_name(c) || (c >= '0' && c <= '9') || c == '$';
}

// The position after the quoted text that begins at `at` and ends with `end`; a doubled `end` is an escaped
// one.
std::size_t past_quoted(std::string_view sql, std::size_t at, char end) {
    for (++at; at < sql.size(); ++at) {
        if (sql[at] != end)
            continue;
        if (at + 1 >= sql.size() || sql[at + 1] != end)
            return at + 1;
        ++at;
    }
    return sql.size();
}

// The end of the comment that begins at `at`; nothing where none begins.
std::optional<std::size_t> comment_end(std::string_view sql, std::size_t at) {
    if (sql.substr(at, 2) == "--")
        return std::min(sql.find('\n', at), sql.size());
    if (sql.substr(at, 2) != "/*")
        return std::nullopt;
    const std::size_t end = sql.find("*/", at + 2);
    return end == std::string_view::npos ? sql.size() : end + 2;
}

bool is_blank(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

Token quoted_name(std::string_view quoted) {
    return {std::string(quoted.size() > 1 ? quoted.substr(1, quoted.size() - 2) : ""), true, true};
}

// Reads the token at `at`, which is neither blank nor in a comment, and advances `at` past it.
Token read_token(std::string_view sql, std::size_t& at) {
    const std::size_t begin = at;
    const char first = sql[begin];
    if (first == '\'') {
        at = past_quoted(sql, begin, first);
        return {"'"};
    }
    if (first == '"' || first == '`') {
        at = past_quoted(sql, begin, first);
        return quoted_name(sql.substr(begin, at - begin));
    }
    if (starts_name(first)) {
        while (at < sql.size() && in_name(sql[at]))
            ++at;
        return {std::string(sql.substr(begin, at - begin)), true};
    }
    if (is_digit(first)) {
        // The dots in a number do not separate names.
        while (at < sql.size() && (in_name(sql[at]) || sql[at] == '.'))
            ++at;
        return {"0"};
    }
    ++at;
    return {std::string(1, first)};
}

std::vector<Token> tokens_of(std::string_view sql) {
    std::vector<Token> tokens;
    for (std::size_t at = 0; at < sql.size();) {
        if (const auto end = comment_end(sql, at))
            at = *end;
        else if (is_blank(sql[at]))
            ++at;
        else
            tokens.push_back(read_token(sql, at));
    }
    return tokens;
}

std::int64_t group_in(std::string_view schema) {
    const std::size_t underscore = schema.rfind('_');
    if (underscore == std::string_view::npos || underscore == 0)
        return 0;
    return to_number<std::int64_t>(schema.substr(underscore + 1)).value_or(0);
}

bool before_table(const Token& t) {
    if (!t.name || t.quoted)
        return false;
    static constexpr std::array kKeywords = {"from", "join", "into", "update", "table"};
    return std::any_of(kKeywords.begin(), kKeywords.end(), [&](const char* keyword) {
        return equals_ignore_case(t.text, keyword);
    });
}

}  // namespace

std::int64_t table_group(std::string_view sql) {
    const auto tokens = tokens_of(sql);
    std::int64_t otherwise = 0;
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        if (!tokens[i].name)
            continue;
        std::size_t last = i;  // of the names separated by dots that begin at `i`
        while (last + 2 < tokens.size() && tokens[last + 1].text == "." && !tokens[last + 1].name &&
               tokens[last + 2].name)
            last += 2;
        if (last == i)
            continue;
        const std::string& schema = tokens[last - 2].text;
        const std::int64_t group = equals_ignore_case(schema, "staging") ? 0 : group_in(schema);
        if (group > 0 && i > 0 && before_table(tokens[i - 1]))
            return group;
        if (group > 0 && otherwise == 0)
            otherwise = group;
        i = last;
    }
    return otherwise;
}

}  // namespace gatetiller::decide
