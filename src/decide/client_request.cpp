#include "decide/client_request.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/text.hpp"

namespace gatetiller::decide {
namespace {

constexpr std::size_t kIdDigits = 16, kTokenDigits = 32;
constexpr double kCostMostMs = 1e8, kMemoryMostMb = 1e7;

bool hex(std::string_view text, std::size_t digits) {
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

// Valid UTF-8 without NUL: overlong forms, surrogates and what lies beyond the last code point are not.
bool text_only(std::string_view text) {
    for (std::size_t at = 0; at < text.size();) {
        const auto c = static_cast<unsigned char>(text[at]);
        if (c == 0)
            return false;
        const std::size_t more = c < 0x80                ? 0
                                 : c >= 0xc2 && c < 0xe0 ? 1
                                 : c >= 0xe0 && c < 0xf0 ? 2
                                 : c >= 0xf0 && c < 0xf5 ? 3
                                                         : 9;
        if (more == 9 || text.size() - at <= more)
            return false;
        std::uint32_t code = more == 0 ? c : c & (0x3fu >> more);
        for (std::size_t i = 1; i <= more; ++i) {
            const auto next = static_cast<unsigned char>(text[at + i]);
            if ((next & 0xc0) != 0x80)
                return false;
            code = code << 6 | (next & 0x3f);
        }
        if ((more == 2 && (code < 0x800 || (code >= 0xd800 && code < 0xe000))) ||
            (more == 3 && (code < 0x10000 || code > 0x10ffff)))
            return false;
        at += more + 1;
    }
    return true;
}

}  // namespace

Result<ClientRequest> check_request(const std::map<std::string, std::string>& fields, std::string_view body,
                                    const PolicySettings& settings) {
    const auto field = [&](const char* name) -> std::optional<std::string_view> {
        const auto found = fields.find(name);
        return found == fields.end() ? std::nullopt : std::optional<std::string_view>(found->second);
    };
    const auto wrong = [&](const char* name, const char* right) {
        std::string shown(field(name).value_or("missing").substr(0, 40));
        for (char& c : shown)
            if (c < ' ' || c > '~')
                c = '?';
        return Error{std::string(name) + ": " + right + ", not '" + shown + "'"};
    };
    ClientRequest r;
    r.id = field("trace").value_or("");
    if (!hex(r.id, kIdDigits))
        return wrong("trace", "16 hex digits");
    const auto route = field("route").value_or("");
    const auto cls =
        std::find_if(settings.classes.begin(), settings.classes.end(), [&](const ClassSettings& c) {
            return c.name == route;
        });
    if (cls == settings.classes.end())
        return wrong("route", "a class of the settings");
    r.cls = &*cls;
    r.tenant = field("customer").value_or("");
    const auto is_tenant = [&](const TenantSettings& t) {
        return t.name == r.tenant;
    };
    if (settings.tenants.empty() ? !r.tenant.empty()
                                 : std::none_of(settings.tenants.begin(), settings.tenants.end(), is_tenant))
        return wrong("customer", "a tenant of the settings");
    const auto patience = to_number<std::int64_t>(field("patience").value_or(""));
    if (!patience || *patience <= 0 || *patience > cls->deadline / kMillisecond + 1000)
        return wrong("patience", "milliseconds, at most the deadline of the class");
    r.client_timeout = *patience * kMillisecond;
    if (const auto cost = field("weight")) {
        const auto ms = to_number<double>(*cost);
        if (!ms || !std::isfinite(*ms) || *ms < 0 || *ms > kCostMostMs)
            return wrong("weight", "milliseconds of work");
        if (*ms > 0)
            r.estimated_work = static_cast<Micros>(*ms * kMillisecond);
    }
    if (const auto memory = field("heap_mb")) {
        const auto mb = to_number<double>(*memory);
        if (!mb || !std::isfinite(*mb) || *mb < 0 || *mb > kMemoryMostMb)
            return wrong("heap_mb", "megabytes");
        r.estimated_memory_mb = *mb;
    }
    r.idempotency_key = field("nonce").value_or("");
    if (!(r.idempotency_key.empty() && cls->idempotency != Idempotency::keyed) &&
        !hex(r.idempotency_key, kTokenDigits))
        return wrong("nonce", "32 hex digits");
    if (body.empty() || body.size() > kMaxStatementBytes)
        return Error{"a statement of 1 to " + std::to_string(kMaxStatementBytes) + " bytes is needed"};
    if (!text_only(body))
        return Error{"the statement is not UTF-8 text"};
    return r;
}

bool is_complete_rows(std::string_view text, int columns) {
    int tabs = 0;
    for (const char c : text) {
        if (c == '\t') {
            ++tabs;
        } else if (c == '\n') {
            if (std::exchange(tabs, 0) != columns - 1)
                return false;
        } else if (static_cast<unsigned char>(c) < ' ') {
            return false;
        }
    }
    return tabs == 0 && (text.empty() || text.back() == '\n') && text_only(text);
}

}  // namespace gatetiller::decide
