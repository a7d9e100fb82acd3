#include "thrift/binary.hpp"

#include "base/bytes.hpp"

namespace gatetiller::thrift {
namespace {

constexpr std::uint32_t kVersion = 0x80010000;
constexpr int kMaxDepth = 8;  // nesting of structs and containers

}  // namespace

std::string_view Reader::raw(std::size_t n) {
    if (n > rest_.size())
        return fail(), std::string_view();
    const auto bytes = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return bytes;
}

std::uint8_t Reader::byte() {
    return static_cast<std::uint8_t>(read_big_endian(raw(1)));
}
std::int16_t Reader::i16() {
    return static_cast<std::int16_t>(read_big_endian(raw(2)));
}
std::int32_t Reader::i32() {
    return static_cast<std::int32_t>(read_big_endian(raw(4)));
}

std::string_view Reader::string() {
    const std::int32_t size = i32();
    if (size < 0)
        return fail(), std::string_view();
    return raw(static_cast<std::size_t>(size));
}

Type Reader::field(std::int16_t& id) {
    const auto type = static_cast<Type>(byte());
    if (!ok_ || type == Type::stop)
        return Type::stop;
    id = i16();
    return ok_ ? type : Type::stop;
}

Fields Reader::fields(std::size_t max_count) {
    Fields map;
    const auto key = static_cast<Type>(byte());
    const auto value = static_cast<Type>(byte());
    const std::int32_t count = i32();
    const bool strings = (key == Type::string && value == Type::string) || count == 0;
    if (!strings || count < 0 || static_cast<std::size_t>(count) > max_count)
        return fail(), map;
    for (std::int32_t i = 0; i < count && ok_; ++i) {
        std::string name(string());
        if (!map.emplace(std::move(name), std::string(string())).second)
            fail();
    }
    return map;
}

void Reader::skip(Type type, int depth) {
    if (depth > kMaxDepth)
        return fail();
    switch (type) {
        case Type::boolean:
        case Type::byte:
            raw(1);
            return;
        case Type::i16:
            raw(2);
            return;
        case Type::i32:
            raw(4);
            return;
        case Type::real:
        case Type::i64:
            raw(8);
            return;
        case Type::string:
            string();
            return;
        case Type::structure: {
            std::int16_t id = 0;
            for (Type t = field(id); ok_ && t != Type::stop; t = field(id))
                skip(t, depth + 1);
            return;
        }
        case Type::map:
        case Type::set:
        case Type::list: {
            const auto first = static_cast<Type>(byte());
            const auto second = type == Type::map ? static_cast<Type>(byte()) : Type::stop;
            const std::int32_t count = i32();
            if (count < 0)
                return fail();
            // Each element takes at least one byte, so a huge count fails at the end of the frame.
            for (std::int32_t i = 0; i < count && ok_; ++i) {
                skip(first, depth + 1);
                if (type == Type::map)
                    skip(second, depth + 1);
            }
            return;
        }
        case Type::stop:
            break;
    }
    fail();
}

Writer::Writer(MessageType type, std::string_view method, std::int32_t seq) : bytes_(kFrameHead, '\0') {
    append_big_endian(bytes_, kVersion | static_cast<std::uint32_t>(type), 4);
    string(method);
    i32(seq);
}

void Writer::field(Type type, std::int16_t id) {
    bytes_.push_back(static_cast<char>(type));
    i16(id);
}
void Writer::i16(std::int16_t value) {
    append_big_endian(bytes_, static_cast<std::uint16_t>(value), 2);
}
void Writer::i32(std::int32_t value) {
    append_big_endian(bytes_, static_cast<std::uint32_t>(value), 4);
}
void Writer::string(std::string_view text) {
    i32(static_cast<std::int32_t>(text.size()));
    bytes_.append(text);
}
void Writer::fields(const Fields& map) {
    bytes_.push_back(static_cast<char>(Type::string));
    bytes_.push_back(static_cast<char>(Type::string));
    i32(static_cast<std::int32_t>(map.size()));
    for (const auto& [name, value] : map)
        string(name), string(value);
}

std::string Writer::frame() {
    std::string head;
    append_big_endian(head, static_cast<std::uint32_t>(bytes_.size() - kFrameHead), 4);
    bytes_.replace(0, kFrameHead, head);
    return std::move(bytes_);
}

FrameStatus next_frame(const Buffer& in, std::size_t max_size, std::string_view& frame) {
    const auto bytes = in.view();
    if (bytes.size() < kFrameHead)
        return FrameStatus::incomplete;
    const std::uint32_t size = read_big_endian(bytes.substr(0, kFrameHead));
    if (size > max_size)
        return FrameStatus::too_long;
    if (bytes.size() - kFrameHead < size)
        return FrameStatus::incomplete;
    frame = bytes.substr(kFrameHead, size);
    return FrameStatus::complete;
}

}  // namespace gatetiller::thrift
