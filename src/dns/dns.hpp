// The DNS messages needed for service discovery (RFC 1035, RFC 2782): a query for SRV records, and its
// response with SOA, A and TXT records. Parsing uses glibc's resolver library (libresolv), which checks every
// length and compressed name; the system's resolver is not queried.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"

namespace gatetiller::dns {

std::string encode_name(std::string_view name);  // as uncompressed labels
std::string encode_srv_query(std::uint16_t id, const std::string& name);

struct SrvRecord {
    std::uint16_t priority = 0, weight = 0, port = 0;
    std::string target;  // lower case, without the trailing dot
};
struct Response {
    std::uint32_t serial = 0;  // serial of the SOA record in the authority section
    std::vector<SrvRecord> srv_records;
    std::map<std::string, std::string> addresses;           // A records by owner name, one address each
    std::map<std::string, std::vector<std::string>> texts;  // TXT records by owner name
};
// Parses the response to the query with this id and name. Fails if the message answers another query, is
// truncated or malformed, reports an error, has not exactly one SOA record in the authority section, or has
// two addresses of one owner; its records are unusable then.
Result<Response> parse_response(std::string_view message, std::uint16_t id, const std::string& name);

}  // namespace gatetiller::dns
