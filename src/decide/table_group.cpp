#include "decide/table_group.hpp"

#include <string>
#include <vector>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

struct Token {
    std::string text;  // a name, or one character of its own
    bool name = false, quoted = false;
};

bool starts_name(char c) {
    return (lower(c) >= 'a' && lower(c) <= 'z') || c == '_' || (c & 0x80) != 0;
}
bool in_name(char c) {
    return starts_name(c) || (c >= '0' && c <= '9') || c == '$';
}

// The position behind what opened at `at` and ends with `end`; a doubled end stands for itself.
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

std::vector<Token> tokens_of(std::string_view sql) {
    std::vector<Token> tokens;
    for (std::size_t at = 0; at < sql.size();) {
        const char c = sql[at];
        if (c == '\'') {
            at = past_quoted(sql, at, c);
            tokens.push_back({"'"});
        } else if (sql.substr(at, 2) == "--") {
            at = std::min(sql.find('\n', at), sql.size());
        } else if (sql.substr(at, 2) == "/*") {
            const std::size_t end = sql.find("*/", at + 2);
            at = end == std::string_view::npos ? sql.size() : end + 2;
        } else if (c == '"' || c == '`') {
            const std::size_t end = past_quoted(sql, at, c);
            tokens.push_back({std::string(sql.substr(at + 1, end > at + 1 ? end - at - 2 : 0)), true, true});
            at = end;
        } else if (starts_name(c)) {
            const std::size_t from = at;
            while (at < sql.size() && in_name(sql[at]))
                ++at;
            tokens.push_back({std::string(sql.substr(from, at - from)), true});
        } else if (c >= '0' && c <= '9') {  // a number holds dots that part no names
            while (at < sql.size() && (in_name(sql[at]) || sql[at] == '.'))
                ++at;
            tokens.push_back({"0"});
        } else {
            if (c != ' ' && c != '\t' && c != '\n' && c != '\r')
                tokens.push_back({std::string(1, c)});
            ++at;
        }
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
    for (const char* word : {"from", "join", "into", "update", "table"})
        if (same_word(t.text, word))
            return true;
    return false;
}

}  // namespace

std::int64_t table_group(std::string_view sql) {
    const auto tokens = tokens_of(sql);
    std::int64_t otherwise = 0;
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        if (!tokens[i].name)
            continue;
        std::size_t last = i;  // of the names parted by dots that begin here
        while (last + 2 < tokens.size() && tokens[last + 1].text == "." && !tokens[last + 1].name &&
               tokens[last + 2].name)
            last += 2;
        if (last == i)
            continue;
        const std::string& schema = tokens[last - 2].text;
        const std::int64_t group = same_word(schema, "staging") ? 0 : group_in(schema);
        if (group > 0 && i > 0 && before_table(tokens[i - 1]))
            return group;
        if (group > 0 && otherwise == 0)
            otherwise = group;
        i = last;
    }
    return otherwise;
}

}  // namespace gatetiller::decide
