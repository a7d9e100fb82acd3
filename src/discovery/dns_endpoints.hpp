// The endpoint list in the records of a DNS response.
#pragma once

#include <vector>

#include "base/result.hpp"
#include "decide/endpoint_list.hpp"
#include "dns/dns.hpp"

namespace gatetiller::discovery {

// Returns the endpoints of the SRV records, each with its A record and the attributes `kind`, `cell` and
// `started` of its TXT records. The list is used completely or not at all: it fails if an endpoint has no
// zone, no address or no port, is listed twice, has an attribute that cannot be read or is given twice, or
// lacks an attribute that other endpoints have. An endpoint of which the cell or the start were guessed would
// get requests that it must not get.
Result<std::vector<decide::DiscoveredEndpoint>> read_endpoints(const dns::Response& response);

}  // namespace gatetiller::discovery
