// The messages of the platform's `Front` service: calls of clients and the responses to them.
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
    std::int32_t given_up = 0;  // give_up: sequence number of the abandoned request
};

// Parses one frame. After an error the connection cannot be used any more.
Result<Call> read_call(std::string_view frame);

// The first part of a call whose frame has not arrived completely.
struct CallHead {
    std::string method;
    std::int32_t seq = 0;
    std::size_t frame_bytes = 0;  // of the complete frame, its length prefix included
    bool is_process() const {
        return method == "process";
    }
};
// Reads the head of a call from the first bytes of its frame, length prefix included. Returns an error if the
// bytes do not contain the whole head, or are not those of a call.
Result<CallHead> read_call_head(std::string_view bytes);

// Calls sent by a client, as complete frames.
std::string process_call(std::int32_t seq, const Fields& fields, std::string_view body);
std::string give_up_call(std::int32_t seq, std::int32_t given_up);
std::string probe_call(std::int32_t seq);

// Responses, as complete frames. `answer`: success of `process`, or readiness for `probe`.
std::string answer(std::string_view method, std::int32_t seq, std::string_view body);
std::string rejected(std::int32_t seq, const Fields& fields);
std::string crashed(std::int32_t seq, const Fields& fields);
// Application exceptions, for calls that are not part of this service.
enum class Fault : std::int32_t {
    unknown_method = 1,
    invalid_type = 2,
    bad_sequence = 4,
    protocol = 7
};
std::string exception(std::string_view method, std::int32_t seq, Fault fault, std::string_view text);

}  // namespace gatetiller::thrift
