// resp: arrays of bulk strings of the Redis serialization protocol (RESP2), as its specification has them: a
// reader of a stream that trusts no length, and a writer.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gatetiller::resp {

struct Limits {
    std::size_t words = 8;
    std::size_t word_bytes = 16 * 1024;
};

enum class ParseStatus {
    incomplete,
    complete,
    malformed
};
// The next array at the front of `bytes`: its words and how many bytes it takes. `none`: not all there yet.
// `spoilt`: no array within the limits will ever stand here; nothing after it on the stream can be trusted.
ParseStatus read_array(std::string_view bytes, const Limits& limits, std::vector<std::string_view>& words,
                       std::size_t& size);

std::string array(std::initializer_list<std::string_view> words);

}  // namespace gatetiller::resp
