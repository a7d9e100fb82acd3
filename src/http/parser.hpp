// An incremental parser of HTTP/1.1 requests and responses. The result does not depend on how the bytes are
// split. Messages that two parsers could interpret differently are rejected, since a request smuggled past
// one of them corrupts the response to another client: two lengths, a length with chunked, bare LF, folded
// lines, spaces before the colon, invalid characters in names, signs or spaces in numbers.
#pragma once

#include "base/buffer.hpp"
#include "http/message.hpp"

namespace gatetiller::http {

struct Limits {
    std::size_t start_line = 8 * 1024;
    std::size_t header_bytes = 32 * 1024;  // total of all fields
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

    // Consumes bytes from `in`, up to the end of one message. Returns true once the message is complete or
    // malformed.
    bool feed(Buffer& in);
    // Handles a close by the peer: it ends a body without a length, has no effect while idle, and is an error
    // otherwise. Returns whether the message is complete or malformed.
    bool end_of_input();
    // Prepares for the next message on the connection. `answers_head`: the response is to a HEAD request and
    // has no body.
    void reset(bool answers_head = false);

    // Bytes of the message that are stored here.
    std::size_t held_bytes() const;

    State state() const {
        return state_;
    }
    bool done() const {
        return state_ == State::done;
    }
    bool failed() const {
        return state_ == State::failed;
    }
    // Returns whether no byte of a message has been consumed yet.
    bool idle() const {
        return state_ == State::start && !started_;
    }
    bool head_done() const {
        return state_ > State::fields && state_ != State::failed;
    }
    // After a failure: the error, and the status code of the server's response.
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
    bool read_line(Buffer& in, std::size_t limit, std::string& line, int too_long_status);
    void fail(int status, std::string error);
    void on_start_line(std::string_view line);
    void on_request_line(std::string_view line);
    void on_status_line(std::string_view line);
    void on_field(std::string_view line);
    void on_fields_done();
    void on_chunk_size(std::string_view line);
    void read_body(Buffer& in, State next);

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
    std::size_t remaining_ = 0, header_bytes_ = 0, header_count_ = 0, scanned_ = 0;
    int minor_ = 1;
    Request request_;
    Response response_;
    std::string line_, error_;
    int error_status_ = 400;
};

}  // namespace gatetiller::http
