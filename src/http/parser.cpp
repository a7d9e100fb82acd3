#include "http/parser.hpp"

namespace gatetiller::http {
namespace {

constexpr std::size_t kMaxChunkLine = 256;  // a chunk's size with its extensions
constexpr std::size_t kMaxReserve =
    1 << 20;  // maximum memory reserved for a declared but not yet received body

bool is_token(std::string_view text) {
    constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
    if (text.empty())
        return false;
    for (const char c : text)
        if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
              kTokenSymbols.find(c) != std::string_view::npos))
            return false;
    return true;
}

bool is_field_text(std::string_view text) {
    for (const char c : text)
        if (const auto u = static_cast<unsigned char>(c); (u < 0x20 && u != '\t') || u == 0x7f)
            return false;
    return true;
}

bool is_digits(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace

void Parser::reset(bool answers_head) {
    const Kind kind = kind_;
    const Limits limits = limits_;
    Parser fresh(kind, limits);
    std::swap(*this, fresh);  // an assignment would keep the memory of a long line or body
    answers_head_ = answers_head;
}

std::size_t Parser::held_bytes() const {
    const std::size_t body_bytes = kind_ == Kind::request ? request_.body.size() : response_.body.size();
    return header_bytes_ + request_.target.size() + body_bytes;
}

void Parser::fail(int status, std::string error) {
    state_ = State::failed;
    error_status_ = status;
    error_ = std::move(error);
}

// Reads a complete line without its CR LF into `line`. Returns false if more bytes are needed or it failed.
bool Parser::read_line(Buffer& in, std::size_t limit, std::string& line, int too_long_status) {
    const std::string_view bytes = in.view();
    const std::size_t end = bytes.find('\n', scanned_);
    if (end == std::string_view::npos) {
        scanned_ = bytes.size();
        if (bytes.size() > limit + 1)
            fail(too_long_status, "a line of over " + std::to_string(limit) + " bytes");
        return false;
    }
    scanned_ = 0;
    if (end > limit + 1)
        return fail(too_long_status, "a line of over " + std::to_string(limit) + " bytes"), false;
    if (end == 0 || bytes[end - 1] != '\r')
        return fail(400, "a line that ends in LF without CR"), false;
    line.assign(bytes.substr(0, end - 1));
    in.consume(end + 1);
    if (line.find('\r') != std::string::npos)
        return fail(400, "a CR inside a line"), false;
    return true;
}

bool Parser::feed(Buffer& in) {
    while (state_ != State::done && state_ != State::failed) {
        if (in.empty() && !(state_ == State::body_by_length && remaining_ == 0))
            return false;
        switch (state_) {
            case State::start:
                // Skips one empty line before a request, because old clients send one after a body.
                if (!started_ && kind_ == Kind::request && in.view() == "\r")
                    return false;
                if (!started_ && kind_ == Kind::request && in.view().starts_with("\r\n")) {
                    in.consume(2);
                    started_ = true;
                    continue;
                }
                started_ = true;
                if (!read_line(in, limits_.start_line, line_, 414))
                    return failed();
                on_start_line(line_);
                break;
            case State::fields:
            case State::trailers:
                if (!read_line(in, limits_.header_bytes, line_, 431))
                    return failed();
                if (line_.empty()) {
                    if (state_ == State::trailers)
                        state_ = State::done;
                    else
                        on_fields_done();
                } else {
                    on_field(line_);
                }
                break;
            case State::body_by_length:
                read_body(in, State::done);
                break;
            case State::body_to_end:
                if (body().size() + in.size() > limits_.body) {
                    fail(413, "a body of over " + std::to_string(limits_.body) + " bytes");
                    break;
                }
                body().append(in.view());
                in.clear();
                return false;
            case State::chunk_size:
                if (!read_line(in, kMaxChunkLine, line_, 400))
                    return failed();
                on_chunk_size(line_);
                break;
            case State::chunk:
                read_body(in, State::chunk_end);
                break;
            case State::chunk_end:
                if (in.size() < 2) {
                    if (in.view()[0] != '\r')
                        fail(400, "a chunk that does not end where it said");
                    return failed();
                }
                if (!in.view().starts_with("\r\n")) {
                    fail(400, "a chunk that does not end where it said");
                    break;
                }
                in.consume(2);
                state_ = State::chunk_size;
                break;
            case State::done:
            case State::failed:
                break;
        }
    }
    return true;
}

void Parser::read_body(Buffer& in, State next) {
    const std::size_t n = std::min(remaining_, in.size());
    body().append(in.view().substr(0, n));
    in.consume(n);
    remaining_ -= n;
    if (remaining_ == 0)
        state_ = next;
}

bool Parser::end_of_input() {
    if (state_ == State::body_to_end)
        state_ = State::done;
    else if (state_ != State::done && state_ != State::failed && !idle())
        fail(400, "the connection ended inside a message");
    return state_ == State::done || state_ == State::failed;
}

void Parser::on_start_line(std::string_view line) {
    kind_ == Kind::request ? on_request_line(line) : on_status_line(line);
    if (!failed())
        state_ = State::fields;
}

void Parser::on_request_line(std::string_view line) {
    const std::size_t first = line.find(' '), last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return fail(400, "a request line without three parts");
    const std::string_view method = line.substr(0, first), target = line.substr(first + 1, last - first - 1),
                           version = line.substr(last + 1);
    if (!is_token(method))
        return fail(400, "a method with characters that don't belong");
    if (target.empty() || !is_field_text(target) || target.find_first_of(" \t") != std::string_view::npos)
        return fail(400, "a target with spaces or control characters");
    if (target[0] != '/' && target != "*")
        return fail(400, "a target that is not a path");
    if (!version.starts_with("HTTP/") || version.size() != 8 || version[6] != '.')
        return fail(400, "not HTTP");
    if (version[5] != '1' || (version[7] != '0' && version[7] != '1'))
        return fail(505, "only HTTP/1.0 and HTTP/1.1");
    request_.method = method;
    request_.target = target;
    request_.minor = minor_ = version[7] - '0';
}

void Parser::on_status_line(std::string_view line) {
    if (line.size() < 12 || !line.starts_with("HTTP/1.") || (line[7] != '0' && line[7] != '1') ||
        line[8] != ' ' || !is_digits(line.substr(9, 3)) || (line.size() > 12 && line[12] != ' '))
        return fail(400, "not the status line of HTTP/1");
    minor_ = line[7] - '0';
    response_.status = (line[9] - '0') * 100 + (line[10] - '0') * 10 + (line[11] - '0');
    if (response_.status < 100)
        fail(400, "a status under 100");
}

void Parser::on_field(std::string_view line) {
    header_bytes_ += line.size() + 2;
    if (header_bytes_ > limits_.header_bytes)
        return fail(431, "header fields of over " + std::to_string(limits_.header_bytes) + " bytes");
    if (++header_count_ > limits_.header_count)
        return fail(431, "over " + std::to_string(limits_.header_count) + " header fields");
    if (line[0] == ' ' || line[0] == '\t')
        return fail(400, "a folded header line");
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return fail(400, "a header line without a colon");
    const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (!is_token(name))
        return fail(400, "a header name with spaces or characters that don't belong");
    if (!is_field_text(value))
        return fail(400, "control characters in a header value");
    // Trailers are skipped: fields after the body must not change how it is interpreted.
    if (state_ == State::fields)
        headers().add(std::string(name), std::string(value));
}

void Parser::on_fields_done() {
    std::string().swap(line_);
    const Headers& h = headers();
    const auto length = h.find("Content-Length"), coding = h.find("Transfer-Encoding");
    if (h.count("Content-Length") > 1)
        return fail(400, "two Content-Length fields");
    if (h.count("Transfer-Encoding") > 1)
        return fail(400, "two Transfer-Encoding fields");
    if (length && coding)
        return fail(400, "Content-Length along with Transfer-Encoding");
    if (kind_ == Kind::request && minor_ == 1 && h.count("Host") != 1)
        return fail(400, "not exactly one Host field");
    keep_alive_ = minor_ == 1;
    if (const auto connection = h.find("Connection"))
        for (const auto word : split(*connection, ',')) {
            if (equals_ignore_case(word, "close"))
                keep_alive_ = false;
            if (equals_ignore_case(word, "keep-alive") && minor_ == 0)
                keep_alive_ = true;
        }
    if (const auto expect = h.find("Expect"); expect && kind_ == Kind::request) {
        if (!equals_ignore_case(*expect, "100-continue"))
            return fail(417, "an expectation other than 100-continue");
        expects_continue_ = minor_ == 1;
    }
    const int status = response_.status;
    if (kind_ == Kind::response && (answers_head_ || status == 204 || status == 304 || status < 200)) {
        state_ = State::done;
        return;
    }
    if (coding) {
        if (minor_ == 0)
            return fail(400, "Transfer-Encoding in HTTP/1.0");
        if (!equals_ignore_case(*coding, "chunked"))
            return fail(501, "a transfer coding other than chunked");
        state_ = State::chunk_size;
        return;
    }
    if (length) {
        if (!is_digits(*length) || length->size() > 18)
            return fail(400, "a Content-Length that is not a number");
        remaining_ = *to_number<std::size_t>(*length);
        if (remaining_ > limits_.body)
            return fail(413, "a body of over " + std::to_string(limits_.body) + " bytes");
        body().reserve(std::min(remaining_, kMaxReserve));
        state_ = remaining_ == 0 ? State::done : State::body_by_length;
        return;
    }
    if (kind_ == Kind::request) {
        state_ = State::done;
        return;
    }
    keep_alive_ = false;
    state_ = State::body_to_end;
}

void Parser::on_chunk_size(std::string_view line) {
    const std::string_view digits = line.substr(0, line.find_first_of(";"));
    std::size_t size = 0;
    if (digits.empty() || digits.size() > 15)
        return fail(400, "a chunk size that is not a number");
    for (const char c : digits) {
        const char l = to_ascii_lower(c);
        if (!((l >= '0' && l <= '9') || (l >= 'a' && l <= 'f')))
            return fail(400, "a chunk size that is not a number");
        size = size * 16 + static_cast<std::size_t>(l <= '9' ? l - '0' : l - 'a' + 10);
    }
    if (size > limits_.body - body().size())
        return fail(413, "a body of over " + std::to_string(limits_.body) + " bytes");
    remaining_ = size;
    state_ = size == 0 ? State::trailers : State::chunk;
}

}  // namespace gatetiller::http
