// thrift: the strict binary protocol over the framed transport, as published for Apache Thrift. A reader of
// one message that trusts no length, and a writer. Nothing here knows a service; service.hpp does.
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

// One frame's bytes, read from the front. Once something can't be read, ok() is false for good and every
// further call returns nothing of use.
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
    // The next field of a struct; its type is `stop` at the end.
    Type field(std::int16_t& id);
    // A map of strings with at most `most` entries; a key that comes twice can't be read.
    Fields fields(std::size_t most);
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
    // Begins a frame; its length is set by frame().
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
    std::string frame();  // the whole frame, to be taken once

private:
    void i16(std::int16_t value);
    std::string bytes_;
};

// The next frame of a stream, without its length; it stays in `in` until taken. `none`: not all there yet.
enum class FrameStatus {
    incomplete,
    complete,
    too_long
};
FrameStatus next_frame(const Buffer& in, std::size_t most, std::string_view& frame);
inline constexpr std::size_t kFrameHead = 4;

}  // namespace gatetiller::thrift
