#include "thrift/service.hpp"

#include <set>

namespace gatetiller::thrift {
namespace {

constexpr std::uint32_t kVersionMask = 0xffffff00, kVersion = 0x80010000;
constexpr std::size_t kMaxFields = 64, kMaxMethodSize = 64;
constexpr std::int16_t kFieldsId = 1, kBodyId = 2;  // arguments of process
constexpr std::int16_t kGivenUpId = 1;              // argument of giveUp

std::string declared_exception(std::int32_t seq, std::int16_t id, const Fields& fields) {
    Writer w(MessageType::reply, "process", seq);
    w.field(Type::structure, id);
    w.field(Type::map, 1), w.fields(fields), w.stop();
    w.stop();
    return w.frame();
}

Call::What what_of(std::string_view method) {
    if (method == "process")
        return Call::What::process;
    if (method == "giveUp")
        return Call::What::give_up;
    return method == "probe" ? Call::What::probe : Call::What::unknown;
}

// Reads the arguments up to the end of their struct. Returns false if one occurs twice. `has_number`: whether
// there is that of giveUp.
bool read_arguments(Reader& r, Call& call, bool& has_number) {
    std::set<std::int16_t> ids;
    std::int16_t id = 0;
    for (Type type = r.field(id); r.ok() && type != Type::stop; type = r.field(id)) {
        if (!ids.insert(id).second)
            return false;
        if (call.what == Call::What::process && id == kFieldsId && type == Type::map) {
            call.fields = r.fields(kMaxFields);
        } else if (call.what == Call::What::process && id == kBodyId && type == Type::string) {
            call.body = r.string();
        } else if (call.what == Call::What::give_up && id == kGivenUpId && type == Type::i32) {
            call.given_up = r.i32();
            has_number = true;
        } else {
            r.skip(type);
        }
    }
    return true;
}

Result<CallHead> read_head(Reader& r) {
    const auto head = static_cast<std::uint32_t>(r.i32());
    const auto type = static_cast<MessageType>(head & 0xff);
    if (!r.ok() || (head & kVersionMask) != kVersion)
        return Error{"not a strict binary message"};
    if (type != MessageType::call && type != MessageType::oneway)
        return Error{"not a call"};
    CallHead call;
    call.method = r.string();
    call.seq = r.i32();
    if (!r.ok() || call.method.size() > kMaxMethodSize)
        return Error{"a message head that can't be read"};
    return call;
}

}  // namespace

Result<CallHead> read_call_head(std::string_view bytes) {
    Reader r(bytes);
    const auto size = static_cast<std::uint32_t>(r.i32());
    auto head = read_head(r);
    if (head)
        head->frame_bytes = kFrameHead + size;
    return head;
}

Result<Call> read_call(std::string_view frame) {
    Reader r(frame);
    auto head = read_head(r);
    if (!head)
        return head.failure();
    Call call;
    call.method = std::move(head->method);
    call.seq = head->seq;
    call.what = what_of(call.method);
    bool has_number = false;
    if (!read_arguments(r, call, has_number))
        return Error{"an argument of " + call.method + " twice"};
    if (!r.ok() || !r.at_end())
        return Error{"arguments of " + call.method + " that can't be read"};
    if (call.what == Call::What::give_up && !has_number)
        return Error{"giveUp without a number"};
    return call;
}

std::string process_call(std::int32_t seq, const Fields& fields, std::string_view body) {
    Writer w(MessageType::call, "process", seq);
    w.field(Type::map, 1), w.fields(fields);
    w.field(Type::string, 2), w.string(body), w.stop();
    return w.frame();
}

std::string give_up_call(std::int32_t seq, std::int32_t given_up) {
    Writer w(MessageType::oneway, "giveUp", seq);
    w.field(Type::i32, 1), w.i32(given_up), w.stop();
    return w.frame();
}

std::string probe_call(std::int32_t seq) {
    Writer w(MessageType::call, "probe", seq);
    w.field(Type::boolean, 1), w.boolean(false), w.stop();
    return w.frame();
}

std::string answer(std::string_view method, std::int32_t seq, std::string_view body) {
    Writer w(MessageType::reply, method, seq);
    w.field(Type::structure, 0);
    w.field(Type::string, 1), w.string(body);
    w.field(Type::map, 2), w.fields({});
    w.field(Type::boolean, 3), w.boolean(true), w.stop();
    w.stop();
    return w.frame();
}

std::string rejected(std::int32_t seq, const Fields& fields) {
    return declared_exception(seq, 1, fields);
}
std::string crashed(std::int32_t seq, const Fields& fields) {
    return declared_exception(seq, 2, fields);
}

std::string exception(std::string_view method, std::int32_t seq, Fault fault, std::string_view text) {
    Writer w(MessageType::exception, method, seq);
    w.field(Type::string, 1), w.string(text);
    w.field(Type::i32, 2), w.i32(static_cast<std::int32_t>(fault));
    w.stop();
    return w.frame();
}

}  // namespace gatetiller::thrift
