#include "dns/dns.hpp"

#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <resolv.h>

#include "base/bytes.hpp"
#include "base/text.hpp"

namespace gatetiller::dns {
namespace {

constexpr std::size_t kHeaderBytes = 12;

std::string normalized_name(std::string_view name) {
    while (name.ends_with('.'))
        name.remove_suffix(1);
    std::string out(name);
    for (char& c : out)
        c = to_ascii_lower(c);
    return out;
}

// Calls `visit` for each record of a section. Returns false if a record can't be parsed or is rejected by
// `visit`.
template <typename Visitor>
bool for_each_record(ns_msg& message, ns_sect section, Visitor visit) {
    for (int i = 0; i < ns_msg_count(message, section); ++i) {
        ns_rr record;
        if (ns_parserr(&message, section, i, &record) != 0 || !visit(record))
            return false;
    }
    return true;
}

}  // namespace

std::string encode_name(std::string_view name) {
    std::string out;
    for (const auto label : split(name, '.')) {
        out.push_back(static_cast<char>(label.size()));
        out.append(label);
    }
    return out + '\0';
}

std::string encode_srv_query(std::uint16_t id, const std::string& name) {
    std::string out;
    append_big_endian(out, id, 2);
    for (const unsigned word : {0u, 1u, 0u, 0u, 0u})
        append_big_endian(out, word, 2);  // flags and counts of a standard query with one question
    out += encode_name(name);
    append_big_endian(out, ns_t_srv, 2);
    append_big_endian(out, ns_c_in, 2);
    return out;
}

Result<Response> parse_response(std::string_view bytes, std::uint16_t id, const std::string& name) {
    ns_msg message;
    if (bytes.size() < kHeaderBytes || ns_initparse(reinterpret_cast<const unsigned char*>(bytes.data()),
                                                    static_cast<int>(bytes.size()), &message) != 0)
        return Error{"malformed message"};
    if (ns_msg_id(message) != id || ns_msg_getflag(message, ns_f_qr) != 1)
        return Error{"not a response to this query"};
    if (ns_msg_getflag(message, ns_f_tc) != 0)
        return Error{"truncated response"};
    if (ns_msg_getflag(message, ns_f_rcode) != ns_r_noerror)
        return Error{"error response with RCODE " + std::to_string(ns_msg_getflag(message, ns_f_rcode))};
    const auto data = [&](const ns_rr& record) {
        return reinterpret_cast<const unsigned char*>(ns_rr_rdata(record));
    };
    const std::string queried_name = normalized_name(name);
    const bool question_matches = for_each_record(message, ns_s_qd, [&](const ns_rr& record) {
        return normalized_name(ns_rr_name(record)) == queried_name && ns_rr_type(record) == ns_t_srv;
    });
    if (!question_matches)
        return Error{"response to another question"};
    Response response;
    bool has_serial = false;
    const auto read_name = [&](const unsigned char* position, std::string& result) {
        char text[NS_MAXDNAME];
        const int length =
            ns_name_uncompress(ns_msg_base(message), ns_msg_end(message), position, text, sizeof text);
        if (length >= 0)
            result = normalized_name(text);
        return length;
    };
    const auto read_record = [&](const ns_rr& record) {
        const unsigned char* position = data(record);
        const unsigned char* const end = position + ns_rr_rdlen(record);
        switch (ns_rr_type(record)) {
            case ns_t_srv: {
                SrvRecord srv;
                if (ns_rr_rdlen(record) < 7)
                    return false;
                srv.priority = static_cast<std::uint16_t>(ns_get16(position));
                srv.weight = static_cast<std::uint16_t>(ns_get16(position + 2));
                srv.port = static_cast<std::uint16_t>(ns_get16(position + 4));
                if (const int length = read_name(position + 6, srv.target);
                    length < 0 || position + 6 + length != end)
                    return false;
                if (normalized_name(ns_rr_name(record)) == queried_name)
                    response.srv_records.push_back(std::move(srv));
                return true;
            }
            case ns_t_a: {
                if (ns_rr_rdlen(record) != 4)
                    return false;
                char text[INET_ADDRSTRLEN];
                inet_ntop(AF_INET, position, text, sizeof text);
                response.addresses[normalized_name(ns_rr_name(record))] = text;
                return true;
            }
            case ns_t_txt: {
                auto& texts = response.texts[normalized_name(ns_rr_name(record))];
                while (position < end) {
                    const std::size_t size = *position++;
                    if (size > static_cast<std::size_t>(end - position))
                        return false;
                    texts.emplace_back(reinterpret_cast<const char*>(position), size);
                    position += size;
                }
                return true;
            }
            case ns_t_soa: {
                std::string unused_name;
                for (int i = 0; i < 2; ++i) {
                    const int length = read_name(position, unused_name);
                    if (length < 0 || length > end - position)
                        return false;
                    position += length;
                }
                if (end - position != 20)
                    return false;
                response.serial = static_cast<std::uint32_t>(ns_get32(position));
                has_serial = true;
                return true;
            }
            default:
                return true;
        }
    };
    for (const ns_sect section : {ns_s_an, ns_s_ns, ns_s_ar})
        if (!for_each_record(message, section, read_record))
            return Error{"malformed record"};
    if (!has_serial)
        return Error{"response without an SOA record"};
    return response;
}

}  // namespace gatetiller::dns
