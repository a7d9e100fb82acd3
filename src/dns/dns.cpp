#include "dns/dns.hpp"

#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <resolv.h>

#include <utility>

#include "base/bytes.hpp"
#include "base/text.hpp"

namespace gatetiller::dns {
namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kServiceHeaderBytes = 6;  // priority, weight and port of an SRV record
constexpr std::size_t kSoaNumberBytes = 20;     // serial and times of an SOA record

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

// Reads the records of one message into a Response.
class ResponseReader {
public:
    ResponseReader(ns_msg& message, std::string queried_name)
        : message_(message), queried_name_(std::move(queried_name)) {}

    bool question_matches() {
        return for_each_record(message_, ns_s_qd, [&](const ns_rr& record) {
            return normalized_name(ns_rr_name(record)) == queried_name_ && ns_rr_type(record) == ns_t_srv;
        });
    }

    Result<Response> read() {
        for (const ns_sect section : {ns_s_an, ns_s_ns, ns_s_ar}) {
            const bool complete = for_each_record(message_, section, [&](const ns_rr& record) {
                return read_record(record, section);
            });
            if (!complete)
                return Error{error_};
        }
        if (!has_serial_)
            return Error{"response without an SOA record"};
        return std::move(response_);
    }

private:
    // The data of a record that is not read yet.
    struct Data {
        explicit Data(const ns_rr& record)
            : at(reinterpret_cast<const unsigned char*>(ns_rr_rdata(record))),
              end(at + ns_rr_rdlen(record)) {}
        std::size_t size() const {
            return static_cast<std::size_t>(end - at);
        }
        std::uint16_t read_16() {
            const auto value = static_cast<std::uint16_t>(ns_get16(at));
            at += NS_INT16SZ;
            return value;
        }
        const unsigned char* at;
        const unsigned char* end;
    };

    bool read_record(const ns_rr& record, ns_sect section) {
        switch (ns_rr_type(record)) {
            case ns_t_srv:
                return read_service(record);
            case ns_t_a:
                return read_address(record);
            case ns_t_txt:
                return read_texts(record);
            case ns_t_soa:
                return section != ns_s_ns || read_serial(record);
            default:
                return true;
        }
    }

    bool read_service(const ns_rr& record) {
        Data data(record);
        if (data.size() <= kServiceHeaderBytes)
            return false;
        SrvRecord service;
        service.priority = data.read_16();
        service.weight = data.read_16();
        service.port = data.read_16();
        if (!read_name(data, service.target) || data.size() > 0)
            return false;
        if (normalized_name(ns_rr_name(record)) == queried_name_)
            response_.srv_records.push_back(std::move(service));
        return true;
    }

    bool read_address(const ns_rr& record) {
        const Data data(record);
        if (data.size() != NS_INADDRSZ)
            return false;
        char text[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, data.at, text, sizeof text);
        const auto owner = normalized_name(ns_rr_name(record));
        const auto [known, is_new] = response_.addresses.try_emplace(owner, text);
        if (is_new || known->second == text)
            return true;
        error_ = "two addresses of " + owner;
        return false;
    }

    bool read_texts(const ns_rr& record) {
        Data data(record);
        auto& texts = response_.texts[normalized_name(ns_rr_name(record))];
        while (data.size() > 0) {
            const std::size_t size = *data.at++;
            if (size > data.size())
                return false;
            texts.emplace_back(reinterpret_cast<const char*>(data.at), size);
            data.at += size;
        }
        return true;
    }

    bool read_serial(const ns_rr& record) {
        Data data(record);
        std::string unused_name;
        if (!read_name(data, unused_name) || !read_name(data, unused_name))
            return false;
        if (data.size() != kSoaNumberBytes)
            return false;
        if (std::exchange(has_serial_, true)) {
            error_ = "two SOA records";
            return false;
        }
        response_.serial = static_cast<std::uint32_t>(ns_get32(data.at));
        return true;
    }

    // Reads a name, which may be compressed. Returns false unless it ends within the record's data.
    bool read_name(Data& data, std::string& result) const {
        char text[NS_MAXDNAME];
        const int length =
            ns_name_uncompress(ns_msg_base(message_), ns_msg_end(message_), data.at, text, sizeof text);
        if (length < 0 || static_cast<std::size_t>(length) > data.size())
            return false;
        result = normalized_name(text);
        data.at += length;
        return true;
    }

    ns_msg& message_;
    std::string queried_name_;
    Response response_;
    bool has_serial_ = false;
    std::string error_ = "malformed record";
};

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

Result<Response> parse_response(std::string_view message, std::uint16_t id, const std::string& name) {
    ns_msg handle;
    if (message.size() < kHeaderBytes || ns_initparse(reinterpret_cast<const unsigned char*>(message.data()),
                                                      static_cast<int>(message.size()), &handle) != 0)
        return Error{"malformed message"};
    if (ns_msg_id(handle) != id || ns_msg_getflag(handle, ns_f_qr) != 1)
        return Error{"not a response to this query"};
    if (ns_msg_getflag(handle, ns_f_tc) != 0)
        return Error{"truncated response"};
    if (ns_msg_getflag(handle, ns_f_rcode) != ns_r_noerror)
        return Error{"error response with RCODE " + std::to_string(ns_msg_getflag(handle, ns_f_rcode))};
    ResponseReader reader(handle, normalized_name(name));
    if (!reader.question_matches())
        return Error{"response to another question"};
    return reader.read();
}

}  // namespace gatetiller::dns
