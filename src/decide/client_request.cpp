#include "decide/client_request.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/text.hpp"
#include "decide/reported_values.hpp"

namespace gatetiller::decide {
namespace {

constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kIdempotencyKeyDigits = 32;
// The maximum by which a client's timeout may exceed the deadline of its class.
constexpr std::int64_t kTimeoutToleranceMs = 1000;
// Bytes of an invalid value that an error message contains.
constexpr std::size_t kMaxShownBytes = 40;

bool is_hex(std::string_view text, std::size_t digits) {
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

// The number of continuation bytes after the first byte of a UTF-8 sequence; nothing where `first` is not
// valid as one.
std::optional<std::size_t> continuation_bytes(unsigned char first) {
    if (first < 0x80)
        return 0;
    if (first >= 0xc2 && first < 0xe0)
        return 1;
    if (first >= 0xe0 && first < 0xf0)
        return 2;
    if (first >= 0xf0 && first < 0xf5)
        return 3;
    return std::nullopt;
}

// Whether a code point is encoded in the shortest form, is not a surrogate, and is at most U+10FFFF.
bool is_valid_code_point(std::uint32_t code, std::size_t continuations) {
    if (continuations == 2)
        return code >= 0x800 && (code < 0xd800 || code >= 0xe000);
    if (continuations == 3)
        return code >= 0x10000 && code <= 0x10ffff;
    return true;
}

// The length of the valid UTF-8 sequence at the beginning of `text`; 0 where there is none or it is NUL.
std::size_t sequence_length(std::string_view text) {
    const auto first = static_cast<unsigned char>(text.front());
    const auto continuations = continuation_bytes(first);
    if (first == 0 || !continuations || text.size() <= *continuations)
        return 0;
    std::uint32_t code = *continuations == 0 ? first : first & (0x3fu >> *continuations);
    for (std::size_t i = 1; i <= *continuations; ++i) {
        const auto next = static_cast<unsigned char>(text[i]);
        if ((next & 0xc0) != 0x80)
            return 0;
        code = code << 6 | (next & 0x3fu);
    }
    return is_valid_code_point(code, *continuations) ? *continuations + 1 : 0;
}

bool is_utf8_without_nul(std::string_view text) {
    while (!text.empty()) {
        const std::size_t length = sequence_length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

// The fields of one request.
class RequestFields {
public:
    explicit RequestFields(const std::map<std::string, std::string>& fields) : fields_(fields) {}

    std::optional<std::string_view> find(const char* name) const {
        const auto found = fields_.find(name);
        return found == fields_.end() ? std::nullopt : std::optional<std::string_view>(found->second);
    }
    std::string_view value_or_empty(const char* name) const {
        return find(name).value_or("");
    }
    // An error that names the field, its valid form and the value.
    Error invalid(const char* name, const char* valid_form) const {
        std::string shown(find(name).value_or("missing").substr(0, kMaxShownBytes));
        std::replace_if(
            shown.begin(), shown.end(),
            [](char c) {
                return c < ' ' || c > '~';
            },
            '?');
        return Error{std::string(name) + ": " + valid_form + ", not '" + shown + "'"};
    }

private:
    const std::map<std::string, std::string>& fields_;
};

// A number from 0 to `max`; 0 where the field is missing, nothing where it is invalid.
std::optional<double> read_estimate(const RequestFields& fields, const char* name, double max) {
    const auto text = fields.find(name);
    if (!text)
        return 0;
    return to_number_in<double>(*text, 0, max);
}

const ClassSettings* find_class(const PolicySettings& settings, std::string_view name) {
    const auto found =
        std::find_if(settings.classes.begin(), settings.classes.end(), [&](const ClassSettings& cls) {
            return cls.name == name;
        });
    return found == settings.classes.end() ? nullptr : &*found;
}

bool is_tenant(const PolicySettings& settings, std::string_view name) {
    if (settings.tenants.empty())
        return name.empty();
    return std::any_of(settings.tenants.begin(), settings.tenants.end(), [&](const TenantSettings& tenant) {
        return tenant.name == name;
    });
}

bool is_valid_key(std::string_view key, const ClassSettings& cls) {
    const bool optional = cls.idempotency != Idempotency::keyed;
    return (key.empty() && optional) || is_hex(key, kIdempotencyKeyDigits);
}

Result<ClientRequest> check_fields(const RequestFields& fields, const PolicySettings& settings) {
    ClientRequest request;
    request.id = fields.value_or_empty("trace");
    if (!is_hex(request.id, kIdDigits))
        return fields.invalid("trace", "16 hex digits");
    request.cls = find_class(settings, fields.value_or_empty("route"));
    if (request.cls == nullptr)
        return fields.invalid("route", "a class of the settings");
    request.tenant = fields.value_or_empty("customer");
    if (!is_tenant(settings, request.tenant))
        return fields.invalid("customer", "a tenant of the settings");
    const auto timeout_ms = to_number<std::int64_t>(fields.value_or_empty("patience"));
    if (!timeout_ms || *timeout_ms <= 0 ||
        *timeout_ms > request.cls->deadline / kMillisecond + kTimeoutToleranceMs)
        return fields.invalid("patience", "milliseconds, at most the deadline of the class");
    request.client_timeout = *timeout_ms * kMillisecond;
    const auto work_ms = read_estimate(fields, "weight", kMaxWorkMs);
    if (!work_ms)
        return fields.invalid("weight", "milliseconds of work");
    if (*work_ms > 0)
        request.estimated_work = static_cast<Micros>(*work_ms * kMillisecond);
    const auto memory_mb = read_estimate(fields, "heap_mb", kMaxMemoryMb);
    if (!memory_mb)
        return fields.invalid("heap_mb", "megabytes");
    request.estimated_memory_mb = *memory_mb;
    request.idempotency_key = fields.value_or_empty("nonce");
    if (!is_valid_key(request.idempotency_key, *request.cls))
        return fields.invalid("nonce", "32 hex digits");
    return request;
}

}  // namespace

Result<ClientRequest> check_request(const std::map<std::string, std::string>& fields, std::string_view body,
                                    const PolicySettings& settings) {
    auto request = check_fields(RequestFields(fields), settings);
    if (!request)
        return request;
    if (body.empty() || body.size() > kMaxStatementBytes)
        return Error{"a statement of 1 to " + std::to_string(kMaxStatementBytes) + " bytes is needed"};
    if (!is_utf8_without_nul(body))
        return Error{"the statement is not UTF-8 text"};
    return request;
}

bool is_complete_rows(std::string_view text, int columns) {
    int tabs = 0;
    for (const char c : text) {
        if (c == '\t') {
            ++tabs;
        } else if (c == '\n') {
            if (tabs != columns - 1)
                return false;
            tabs = 0;
        } else if (static_cast<unsigned char>(c) < ' ') {
            return false;
        }
    }
    return tabs == 0 && (text.empty() || text.back() == '\n') && is_utf8_without_nul(text);
}

}  // namespace gatetiller::decide
