// resp: arrays of bulk strings of the Redis serialization protocol (RESP2) according to its specification: a
// stream reader that validates every length, and a writer.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gatetiller::resp {

struct Limits {
    std::size_t words = 8;
    std::size_t word_bytes = 16'384;
};

enum class ParseStatus {
    incomplete,
    complete,
    malformed
};
// Reads the array at the front of `bytes` into its words and its size in bytes. `incomplete`: more bytes are
// needed. `malformed`: the bytes cannot become an array within the limits, and the rest of the stream cannot
// be trusted.
ParseStatus read_array(std::string_view bytes, const Limits& limits, std::vector<std::string_view>& words,
                       std::size_t& size);

std::string array(std::initializer_list<std::string_view> words);

}  // namespace gatetiller::resp
