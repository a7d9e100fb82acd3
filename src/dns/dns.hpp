// dns: the few messages of RFC 1035 and 2782 that a list of services needs: a question for SRV records and
// its answer with SOA, A and TXT records. Reading is glibc's resolver library's (libresolv), which checks
// every length and compressed name; nothing of the system's own resolver is asked.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"

namespace gatetiller::dns {

std::string encode_name(std::string_view name);  // as labels, not compressed
std::string encode_srv_query(std::uint16_t id, const std::string& name);

struct SrvRecord {
    std::uint16_t priority = 0, weight = 0, port = 0;
    std::string target;  // lower case, without the last dot
};
struct Response {
    std::uint32_t serial = 0;  // of the SOA record in the authority section
    std::vector<SrvRecord> srv_records;
    std::map<std::string, std::string> addresses;           // A records by owner
    std::map<std::string, std::vector<std::string>> texts;  // TXT records by owner
};
// The answer to the question with that id and name. An error where it is another's, cut short, reports a
// failure, lacks its serial or can't be read: it says nothing then.
Result<Response> parse_response(std::string_view message, std::uint16_t id, const std::string& name);

}  // namespace gatetiller::dns
