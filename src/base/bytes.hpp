// Reads and writes integers in network byte order (big-endian).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gatetiller {

// `bytes`: at most 4 bytes.
inline std::uint32_t read_big_endian(std::string_view bytes) {
    std::uint32_t value = 0;
    for (const char c : bytes)
        value = value << 8 | static_cast<unsigned char>(c);
    return value;
}

// Appends the `size` low-order bytes of `value`.
inline void append_big_endian(std::string& out, std::uint64_t value, int size) {
    for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift & 0xff));
}

}  // namespace gatetiller
