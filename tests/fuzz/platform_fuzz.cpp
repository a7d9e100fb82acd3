// libFuzzer target: any bytes as a Thrift message, as a RESP stream whole and in pieces, and as a name
// service's answer.
#include <cstdlib>

#include "dns/dns.hpp"
#include "resp/resp.hpp"
#include "thrift/service.hpp"

using namespace gatetiller;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 3) {
        case 0: {
            const auto call = thrift::read_call(bytes);
            if (call && call->body.size() + call->method.size() > bytes.size())
                std::abort();
            break;
        }
        case 1: {
            const resp::Limits limits{4, 512};
            std::vector<std::string_view> whole, pieces;
            std::size_t whole_size = 0, pieces_size = 0;
            const auto all = resp::read_array(bytes, limits, whole, whole_size);
            auto step = resp::ParseStatus::incomplete;
            for (std::size_t n = 1; n <= bytes.size() && step == resp::ParseStatus::incomplete; ++n)
                step = resp::read_array(bytes.substr(0, n), limits, pieces, pieces_size);
            if (step != all ||
                (all == resp::ParseStatus::complete && (whole_size != pieces_size || whole != pieces)))
                std::abort();
            break;
        }
        default:
            if (bytes.size() >= 2)
                (void)dns::parse_response(bytes, static_cast<std::uint16_t>(data[1] << 8 | data[2]),
                                          "_work._tcp.fleet.local");
    }
    return 0;
}
