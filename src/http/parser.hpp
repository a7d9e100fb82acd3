// An incremental parser of HTTP/1.1 messages, for requests and for responses. Bytes may come in any pieces;
// the result is the same. What two parsers could read differently is refused, since a request smuggled past
// one of them ends up in somebody else's answer: two lengths, a length with chunked, bare LF, folded lines,
// spaces before the colon, odd characters in names, signs or spaces in numbers.
#pragma once

#include "base/buffer.hpp"
#include "http/message.hpp"

namespace gatetiller::http {

struct Limits {
    std::size_t start_line = 8 * 1024;
    std::size_t header_bytes = 32 * 1024;  // all fields together
    std::size_t header_count = 100;
    std::size_t body = 16 * 1024 * 1024;
};

class Parser {
public:
    enum class Kind {
        request,
        response
    };
    enum class State {
        start,
        fields,
        body_by_length,
        body_to_end,
        chunk_size,
        chunk,
        chunk_end,
        trailers,
        done,
        failed
    };

    Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

    // Takes what it can use from `in`, up to the end of one message. True once the message is done or has
    // failed.
    bool feed(Buffer& in);
    // The peer closed the connection: the end of a body that has no other; else a failure, or nothing if
    // idle.
    bool end_of_input();
    // For the next message on the connection. Of a response: whether it answers a HEAD, and so has no body.
    void reset(bool answers_head = false);

    State state() const {
        return state_;
    }
    bool done() const {
        return state_ == State::done;
    }
    bool failed() const {
        return state_ == State::failed;
    }
    bool idle() const {
        return state_ == State::start && !started_;
    }  // not a byte of a message yet
    bool head_done() const {
        return state_ > State::fields && state_ != State::failed;
    }
    // After a failure: what was wrong, and the status that a server answers.
    const std::string& error() const {
        return error_;
    }
    int error_status() const {
        return error_status_;
    }

    Request& request() {
        return request_;
    }
    Response& response() {
        return response_;
    }
    bool keep_alive() const {
        return keep_alive_;
    }
    bool expects_continue() const {
        return expects_continue_;
    }

private:
    bool take_line(Buffer& in, std::size_t limit, std::string& line, int too_long_status);
    void fail(int status, std::string what);
    void on_start_line(std::string_view line);
    void on_request_line(std::string_view line);
    void on_status_line(std::string_view line);
    void on_field(std::string_view line);
    void on_fields_done();
    void on_chunk_size(std::string_view line);
    void take_body(Buffer& in, State then);

    Headers& headers() {
        return kind_ == Kind::request ? request_.headers : response_.headers;
    }
    std::string& body() {
        return kind_ == Kind::request ? request_.body : response_.body;
    }

    Kind kind_;
    Limits limits_;
    State state_ = State::start;
    bool started_ = false, answers_head_ = false, keep_alive_ = true, expects_continue_ = false;
    std::size_t left_ = 0, header_bytes_ = 0, header_count_ = 0, scanned_ = 0;
    int minor_ = 1;
    Request request_;
    Response response_;
    std::string line_, error_;
    int error_status_ = 400;
};

}  // namespace gatetiller::http
