#include "resp/resp.hpp"

#include <charconv>

namespace gatetiller::resp {
namespace {

constexpr std::size_t kMaxNumberLine = 16;  // a marker, digits and CR LF; sufficient for all limits

// Reads a line "<marker><digits>\r\n" at `at`.
ParseStatus read_number(std::string_view bytes, std::size_t& at, char marker, std::size_t max_value,
                        std::size_t& value) {
    const auto line = bytes.substr(at, kMaxNumberLine);
    if (line.empty())
        return ParseStatus::incomplete;
    if (line.front() != marker)
        return ParseStatus::malformed;
    const std::size_t end = line.find('\r');
    const auto digits = line.substr(1, end == std::string_view::npos ? end : end - 1);
    if (end == std::string_view::npos) {
        if (line.size() == kMaxNumberLine || digits.find_first_not_of("0123456789") != std::string_view::npos)
            return ParseStatus::malformed;
        return ParseStatus::incomplete;
    }
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (digits.empty() || error != std::errc() || stop != digits.data() + digits.size() || value > max_value)
        return ParseStatus::malformed;
    if (end + 1 >= line.size())
        return line.size() == kMaxNumberLine ? ParseStatus::malformed : ParseStatus::incomplete;
    if (line[end + 1] != '\n')
        return ParseStatus::malformed;
    at += end + 2;
    return ParseStatus::complete;
}

void append_number(std::string& to, char marker, std::size_t value) {
    to.push_back(marker);
    to.append(std::to_string(value)).append("\r\n");
}

}  // namespace

ParseStatus read_array(std::string_view bytes, const Limits& limits, std::vector<std::string_view>& words,
                       std::size_t& size) {
    words.clear();
    std::size_t at = 0;
    std::size_t count = 0;
    if (const auto r = read_number(bytes, at, '*', limits.words, count); r != ParseStatus::complete)
        return r;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t length = 0;
        if (const auto r = read_number(bytes, at, '$', limits.word_bytes, length); r != ParseStatus::complete)
            return r;
        const auto rest = bytes.substr(at);
        if (rest.size() > length && rest[length] != '\r')
            return ParseStatus::malformed;
        if (rest.size() < length + 2)
            return ParseStatus::incomplete;
        if (rest[length + 1] != '\n')
            return ParseStatus::malformed;
        words.push_back(rest.substr(0, length));
        at += length + 2;
    }
    size = at;
    return ParseStatus::complete;
}

std::string array(std::initializer_list<std::string_view> words) {
    std::string out;
    append_number(out, '*', words.size());
    for (const auto word : words) {
        append_number(out, '$', word.size());
        out.append(word).append("\r\n");
    }
    return out;
}

}  // namespace gatetiller::resp
