// The platform's `Front` service on the server side: what a client asks, and the answers.
#pragma once

#include "thrift/binary.hpp"

namespace gatetiller::thrift {

struct Call {
    enum class What {
        process,
        give_up,
        probe,
        unknown
    };
    What what = What::unknown;
    std::string method;
    std::int32_t seq = 0;
    Fields fields;              // process
    std::string body;           // process
    std::int32_t given_up = 0;  // give_up: the number of the request
};

// One frame. An error says what can't be read; the connection is of no further use then.
Result<Call> read_call(std::string_view frame);

// What a client sends, as whole frames.
std::string process_call(std::int32_t seq, const Fields& fields, std::string_view body);
std::string give_up_call(std::int32_t seq, std::int32_t given_up);
std::string probe_call(std::int32_t seq);

// What it is answered, as whole frames.
// Served (`process`), or ready (`probe`).
std::string answer(std::string_view method, std::int32_t seq, std::string_view body);
std::string rejected(std::int32_t seq, const Fields& fields);
std::string crashed(std::int32_t seq, const Fields& fields);
// An application exception, for what is not this service's.
enum class Fault : std::int32_t {
    unknown_method = 1,
    invalid_type = 2,
    bad_sequence = 4,
    protocol = 7
};
std::string exception(std::string_view method, std::int32_t seq, Fault fault, std::string_view text);

}  // namespace gatetiller::thrift
