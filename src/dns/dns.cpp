#include "dns/dns.hpp"

#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <resolv.h>

#include "base/bytes.hpp"
#include "base/text.hpp"

namespace gatetiller::dns {
namespace {

constexpr std::size_t kHeader = 12;

std::string plain(std::string_view name) {
    while (name.ends_with('.'))
        name.remove_suffix(1);
    std::string out(name);
    for (char& c : out)
        c = to_ascii_lower(c);
    return out;
}

// Calls `take` for each record of a section. Returns false if a record can't be parsed or is rejected by
// `take`.
template <typename Take>
bool each(ns_msg& message, ns_sect section, Take take) {
    for (int i = 0; i < ns_msg_count(message, section); ++i) {
        ns_rr record;
        if (ns_parserr(&message, section, i, &record) != 0 || !take(record))
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
    if (bytes.size() < kHeader || ns_initparse(reinterpret_cast<const unsigned char*>(bytes.data()),
                                               static_cast<int>(bytes.size()), &message) != 0)
        return Error{"a message that can't be read"};
    if (ns_msg_id(message) != id || ns_msg_getflag(message, ns_f_qr) != 1)
        return Error{"not this question's answer"};
    if (ns_msg_getflag(message, ns_f_tc) != 0)
        return Error{"cut short"};
    if (ns_msg_getflag(message, ns_f_rcode) != ns_r_noerror)
        return Error{"the name service reports failure " +
                     std::to_string(ns_msg_getflag(message, ns_f_rcode))};
    const auto data = [&](const ns_rr& r) {
        return reinterpret_cast<const unsigned char*>(ns_rr_rdata(r));
    };
    const std::string wanted = plain(name);
    const bool asked = each(message, ns_s_qd, [&](const ns_rr& r) {
        return plain(ns_rr_name(r)) == wanted && ns_rr_type(r) == ns_t_srv;
    });
    if (!asked)
        return Error{"an answer to another question"};
    Response answer;
    bool serial = false;
    const auto name_at = [&](const unsigned char* at, std::string& into) {
        char text[NS_MAXDNAME];
        const int taken =
            ns_name_uncompress(ns_msg_base(message), ns_msg_end(message), at, text, sizeof text);
        if (taken >= 0)
            into = plain(text);
        return taken;
    };
    const auto take = [&](const ns_rr& r) {
        const unsigned char* at = data(r);
        const unsigned char* const end = at + ns_rr_rdlen(r);
        switch (ns_rr_type(r)) {
            case ns_t_srv: {
                SrvRecord s;
                if (ns_rr_rdlen(r) < 7)
                    return false;
                s.priority = static_cast<std::uint16_t>(ns_get16(at));
                s.weight = static_cast<std::uint16_t>(ns_get16(at + 2));
                s.port = static_cast<std::uint16_t>(ns_get16(at + 4));
                if (const int n = name_at(at + 6, s.target); n < 0 || at + 6 + n != end)
                    return false;
                if (plain(ns_rr_name(r)) == wanted)
                    answer.srv_records.push_back(std::move(s));
                return true;
            }
            case ns_t_a: {
                if (ns_rr_rdlen(r) != 4)
                    return false;
                char text[INET_ADDRSTRLEN];
                inet_ntop(AF_INET, at, text, sizeof text);
                answer.addresses[plain(ns_rr_name(r))] = text;
                return true;
            }
            case ns_t_txt: {
                auto& texts = answer.texts[plain(ns_rr_name(r))];
                while (at < end) {
                    const std::size_t size = *at++;
                    if (size > static_cast<std::size_t>(end - at))
                        return false;
                    texts.emplace_back(reinterpret_cast<const char*>(at), size);
                    at += size;
                }
                return true;
            }
            case ns_t_soa: {
                std::string skipped;
                for (int names = 0; names < 2; ++names) {
                    const int n = name_at(at, skipped);
                    if (n < 0 || n > end - at)
                        return false;
                    at += n;
                }
                if (end - at != 20)
                    return false;
                answer.serial = static_cast<std::uint32_t>(ns_get32(at));
                serial = true;
                return true;
            }
            default:
                return true;
        }
    };
    for (const ns_sect section : {ns_s_an, ns_s_ns, ns_s_ar})
        if (!each(message, section, take))
            return Error{"a record that can't be read"};
    if (!serial)
        return Error{"an answer without a serial"};
    return answer;
}

}  // namespace gatetiller::dns
