#include "statement/json.hpp"

#include <algorithm>

#include "base/text.hpp"

namespace gatetiller::statement {
namespace {

constexpr int kDepth = 100;

std::optional<std::string_view> repeated_name(const std::vector<Member>& members) {
    std::vector<std::string_view> names;
    names.reserve(members.size());
    for (const Member& member : members)
        names.push_back(member.key);
    std::sort(names.begin(), names.end());
    const auto repeated = std::adjacent_find(names.begin(), names.end());
    return repeated == names.end() ? std::nullopt : std::optional(*repeated);
}

class Scanner {
public:
    explicit Scanner(std::string_view text) : text_(text) {}

    Result<std::vector<Member>> object_members() {
        std::vector<Member> found;
        space();
        if (!take('{'))
            return wrong("an object was expected");
        space();
        if (!take('}')) {
            do {
                space();
                const std::size_t from = at_;
                if (!string())
                    return wrong("a member's name was expected");
                auto key = as_string(text_.substr(from, at_ - from));
                space();
                if (!key || !take(':'))
                    return wrong("':' was expected");
                space();
                const std::size_t value = at_;
                if (!any(1))
                    return wrong("a value was expected");
                found.push_back({std::move(*key), text_.substr(value, at_ - value)});
                space();
            } while (take(','));
            if (!take('}'))
                return wrong("',' or '}' was expected");
        }
        space();
        if (at_ != text_.size())
            return wrong("text after the end");
        if (const auto name = repeated_name(found))
            return Error{"member '" + std::string(*name) + "' occurs twice"};
        return found;
    }
    bool any(int depth) {
        if (at_ >= text_.size() || depth > kDepth)
            return false;
        switch (text_[at_]) {
            case '"':
                return string();
            case '{':
                return group('}', true, depth);
            case '[':
                return group(']', false, depth);
            case 't':
                return word("true");
            case 'f':
                return word("false");
            case 'n':
                return word("null");
            default:
                return number();
        }
    }
    void space() {
        while (at_ < text_.size() &&
               (text_[at_] == ' ' || text_[at_] == '\n' || text_[at_] == '\r' || text_[at_] == '\t'))
            ++at_;
    }
    bool take(char c) {
        if (at_ >= text_.size() || text_[at_] != c)
            return false;
        ++at_;
        return true;
    }

private:
    Error wrong(const char* what) const {
        return Error{"not JSON at byte " + std::to_string(at_) + ": " + what};
    }
    bool word(std::string_view w) {
        if (text_.substr(at_, w.size()) != w)
            return false;
        at_ += w.size();
        return true;
    }
    bool group(char end, bool named, int depth) {
        ++at_;
        space();
        if (take(end))
            return true;
        do {
            space();
            if (named) {
                if (!string())
                    return false;
                space();
                if (!take(':'))
                    return false;
                space();
            }
            if (!any(depth + 1))
                return false;
            space();
        } while (take(','));
        return take(end);
    }
    bool string() {
        if (!take('"'))
            return false;
        while (at_ < text_.size()) {
            const auto c = static_cast<unsigned char>(text_[at_++]);
            if (c == '"')
                return true;
            if (c < 0x20)
                return false;
            if (c != '\\')
                continue;
            if (at_ >= text_.size())
                return false;
            const char e = text_[at_++];
            if (e == 'u') {
                for (int i = 0; i < 4; ++i, ++at_)
                    if (at_ >= text_.size() || !hex(text_[at_]))
                        return false;
            } else if (std::string_view("\"\\/bfnrt").find(e) == std::string_view::npos) {
                return false;
            }
        }
        return false;
    }
    static bool hex(char c) {
        return (c >= '0' && c <= '9') || (to_ascii_lower(c) >= 'a' && to_ascii_lower(c) <= 'f');
    }
    bool digits() {
        const std::size_t from = at_;
        while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9')
            ++at_;
        return at_ > from;
    }
    bool number() {
        take('-');
        if (!take('0') && !digits())
            return false;
        if (take('.') && !digits())
            return false;
        if (take('e') || take('E')) {
            if (!take('+'))
                take('-');
            if (!digits())
                return false;
        }
        return true;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

void append_utf8(std::string& out, std::uint32_t c) {
    if (c < 0x80) {
        out.push_back(static_cast<char>(c));
    } else if (c < 0x800) {
        out.push_back(static_cast<char>(0xc0 | c >> 6));
        out.push_back(static_cast<char>(0x80 | (c & 63)));
    } else if (c < 0x10000) {
        out.push_back(static_cast<char>(0xe0 | c >> 12));
        out.push_back(static_cast<char>(0x80 | (c >> 6 & 63)));
        out.push_back(static_cast<char>(0x80 | (c & 63)));
    } else {
        out.push_back(static_cast<char>(0xf0 | c >> 18));
        out.push_back(static_cast<char>(0x80 | (c >> 12 & 63)));
        out.push_back(static_cast<char>(0x80 | (c >> 6 & 63)));
        out.push_back(static_cast<char>(0x80 | (c & 63)));
    }
}

std::uint32_t four_hex(std::string_view text) {
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + std::min<std::size_t>(4, text.size()), value, 16);
    return value;
}

}  // namespace

Result<std::vector<Member>> members(std::string_view text) {
    return Scanner(text).object_members();
}

std::size_t array_length(std::string_view raw) {
    Scanner s(raw);
    if (!s.take('['))
        return 0;
    s.space();
    if (s.take(']'))
        return 0;
    std::size_t n = 0;
    do {
        s.space();
        if (!s.any(1))
            return n;
        ++n;
        s.space();
    } while (s.take(','));
    return n;
}

std::optional<bool> as_bool(std::string_view raw) {
    if (raw != "true" && raw != "false")
        return std::nullopt;
    return raw == "true";
}

std::optional<std::string> as_string(std::string_view raw) {
    if (raw.size() < 2 || raw.front() != '"' || raw.back() != '"')
        return std::nullopt;
    raw = raw.substr(1, raw.size() - 2);
    std::string out;
    out.reserve(raw.size());
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] != '\\' || i + 1 >= raw.size()) {
            out.push_back(raw[i]);
            continue;
        }
        switch (const char e = raw[++i]) {
            case 'b':
                out.push_back('\b');
                break;
            case 'f':
                out.push_back('\f');
                break;
            case 'n':
                out.push_back('\n');
                break;
            case 'r':
                out.push_back('\r');
                break;
            case 't':
                out.push_back('\t');
                break;
            case 'u': {
                std::uint32_t c = four_hex(raw.substr(i + 1));
                i += 4;
                if (c >= 0xd800 && c < 0xdc00 && raw.substr(std::min(i + 1, raw.size()), 2) == "\\u") {
                    if (const std::uint32_t low = four_hex(raw.substr(i + 3));
                        low >= 0xdc00 && low < 0xe000) {
                        c = 0x10000 + ((c - 0xd800) << 10) + (low - 0xdc00);
                        i += 6;
                    }
                }
                append_utf8(out, c >= 0xd800 && c < 0xe000 ? 0xfffd : c);  // half a pair stands for nothing
                break;
            }
            default:
                out.push_back(e);
        }
    }
    return out;
}

std::string json_string(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        switch (c) {
            case '"':
                out += "\\\"";
                break;
            case '\\':
                out += "\\\\";
                break;
            case '\n':
                out += "\\n";
                break;
            case '\r':
                out += "\\r";
                break;
            case '\t':
                out += "\\t";
                break;
            default:
                if (static_cast<unsigned char>(c) < 0x20) {
                    constexpr std::string_view kHex = "0123456789abcdef";
                    out += "\\u00";
                    out += kHex[static_cast<unsigned char>(c) >> 4];
                    out += kHex[c & 15];
                } else {
                    out += c;
                }
        }
    }
    return out += '"';
}

}  // namespace gatetiller::statement
