// thrift: the strict binary protocol over the framed transport, as published for Apache Thrift: a reader of
// one message that validates every length, and a writer. Independent of any service; see service.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/buffer.hpp"
#include "base/result.hpp"

namespace gatetiller::thrift {

enum class Type : std::uint8_t {
    stop = 0,
    boolean = 2,
    byte = 3,
    real = 4,
    i16 = 6,
    i32 = 8,
    i64 = 10,
    string = 11,
    structure = 12,
    map = 13,
    set = 14,
    list = 15,
};
enum class MessageType : std::uint8_t {
    call = 1,
    reply = 2,
    exception = 3,
    oneway = 4
};

using Fields = std::map<std::string, std::string>;

// Reads the bytes of one frame from the front. After the first error, ok() stays false and results of further
// calls are meaningless.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    bool ok() const {
        return ok_;
    }
    bool at_end() const {
        return rest_.empty();
    }
    std::uint8_t byte();
    std::int16_t i16();
    std::int32_t i32();
    std::string_view string();
    // Reads the header of a struct's next field and returns its type, `stop` at the end.
    Type field(std::int16_t& id);
    // Reads a map of strings with at most `max_count` entries. A duplicate key is an error.
    Fields fields(std::size_t max_count);
    void skip(Type type, int depth = 0);
    void fail() {
        ok_ = false, rest_ = {};
    }

private:
    std::string_view raw(std::size_t n);

    std::string_view rest_;
    bool ok_ = true;
};

class Writer {
public:
    // Starts a frame; its length is set by frame().
    Writer(MessageType type, std::string_view method, std::int32_t seq);
    void field(Type type, std::int16_t id);
    void stop() {
        bytes_.push_back(0);
    }
    void boolean(bool value) {
        bytes_.push_back(value ? 1 : 0);
    }
    void i32(std::int32_t value);
    void string(std::string_view text);
    void fields(const Fields& map);
    std::string frame();  // returns the complete frame; to be called once

private:
    void i16(std::int16_t value);
    std::string bytes_;
};

// Returns in `frame` the next frame of a stream without its length prefix. It stays in `in` until consumed by
// the caller. `incomplete`: more bytes are needed.
enum class FrameStatus {
    incomplete,
    complete,
    too_long
};
FrameStatus next_frame(const Buffer& in, std::size_t max_size, std::string_view& frame);
inline constexpr std::size_t kFrameHead = 4;

}  // namespace gatetiller::thrift
