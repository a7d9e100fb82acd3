// Numbers in network byte order, as binary protocols have them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gatetiller {

inline std::uint32_t read_big_endian(std::string_view bytes) {  // at most four
    std::uint32_t value = 0;
    for (const char c : bytes)
        value = value << 8 | static_cast<unsigned char>(c);
    return value;
}

inline void append_big_endian(std::string& to, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        to.push_back(static_cast<char>(value >> shift & 0xff));
}

}  // namespace gatetiller
