// libFuzzer target: any bytes, whole and in pieces, as a request and as a response, end in the same state;
// and what a server accepted, written again, is read as the same.
#include <cstdlib>

#include "http/parser.hpp"

using gatetiller::Buffer;
using gatetiller::http::Parser;

namespace {

Parser run(Parser::Kind kind, std::string_view text, std::size_t piece) {
    Parser p(kind, {.start_line = 300, .header_bytes = 600, .header_count = 10, .body = 2000});
    Buffer in;
    while (!text.empty()) {
        const std::size_t n = std::min(piece, text.size());
        in.append(text.substr(0, n));
        text.remove_prefix(n);
        if (p.feed(in))
            break;
    }
    return p;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {Parser::Kind::request, Parser::Kind::response}) {
        Parser whole = run(kind, text, size + 1), bytes = run(kind, text, 1);
        if (whole.state() != bytes.state())
            std::abort();
        if (whole.failed() && whole.error_status() != bytes.error_status())
            std::abort();
        if (!whole.done())
            continue;
        if (!(whole.request().headers == bytes.request().headers) ||
            whole.request().body != bytes.request().body)
            std::abort();
        if (kind != Parser::Kind::request)
            continue;
        auto request = whole.request();
        gatetiller::http::Headers kept;
        for (const auto& [key, value] : request.headers)
            if (!gatetiller::equals_ignore_case(key, "host") &&
                !gatetiller::equals_ignore_case(key, "content-length") &&
                !gatetiller::equals_ignore_case(key, "transfer-encoding") &&
                !gatetiller::equals_ignore_case(key, "expect"))
                kept.add(key, value);
        request.headers = kept;
        Parser again(Parser::Kind::request, {});
        Buffer in;
        in.append(gatetiller::http::write(request, "h"));
        if (!again.feed(in) || !again.done() || again.request().body != request.body ||
            again.request().target != request.target)
            std::abort();
    }
    return 0;
}
