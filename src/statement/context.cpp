#include "statement/context.hpp"

#include "base/text.hpp"
#include "base/units.hpp"

namespace gatetiller::statement {
namespace {

constexpr std::string_view kFamilies[] = {"X-Trino-", "X-Presto-"};
constexpr std::string_view kPassedBack[] = {
    "Set-Catalog",         "Set-Schema",          "Set-Path",
    "Set-Session",         "Clear-Session",       "Set-Role",
    "Added-Prepare",       "Deallocated-Prepare", "Started-Transaction-Id",
    "Clear-Transaction-Id"};

// Headers of which a client sends one.
constexpr const char* kSingleHeaders[] = {"User", "Source", "Catalog", "Schema", "Trace-Token"};
// Limits of estimates, beyond any query.
constexpr Micros kMaxTimeEstimate = 100'000'000 * kSecondMicros;
constexpr double kMaxMemoryEstimate = 1e15;  // bytes

bool in_family(std::string_view name, std::string_view family) {
    return name.size() > family.size() && equals_ignore_case(name.substr(0, family.size()), family);
}

// name=value pairs, comma-separated, of every header of that name.
template <typename Take>
void each_pair(const http::Headers& headers, std::string_view name, Take take) {
    for (const auto& [key, value] : headers) {
        if (!equals_ignore_case(key, name))
            continue;
        for (const auto part : split(value, ','))
            if (const std::size_t equals = part.find('='); equals != std::string_view::npos)
                take(std::string(trimmed(part.substr(0, equals))),
                     std::string(trimmed(part.substr(equals + 1))));
    }
}

}  // namespace

std::string url_decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            out.push_back(static_cast<char>(value));
            i += 2;
        } else {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return out;
}

std::string url_encoded(std::string_view text) {
    constexpr std::string_view kHex = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto u = static_cast<unsigned char>(c);
        const char l = to_ascii_lower(c);
        if ((l >= 'a' && l <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~')
            out += c;
        else
            out += '%', out += kHex[u >> 4], out += kHex[u & 15];
    }
    return out;
}

Result<Context> read_context(const http::Headers& headers) {
    Context c;
    for (const std::string_view family : kFamilies)
        if (headers.find(std::string(family) + "User")) {
            c.prefix = family;
            break;
        }
    const auto text = [&](std::string_view name) {
        return std::string(headers.find(c.prefix + std::string(name)).value_or(""));
    };
    c.user = text("User");
    if (c.user.empty())
        return Error{"the header X-Trino-User is missing: set it to the user's name"};
    c.source = text("Source");
    c.catalog = text("Catalog");
    c.schema = text("Schema");
    c.trace_token = text("Trace-Token");
    for (const auto& [key, value] : headers) {
        if (equals_ignore_case(key, c.prefix + "Client-Tags"))
            for (const auto tag : split(value, ','))
                c.tags.emplace_back(tag);
        if (in_family(key, c.prefix))
            c.passed.add(key, value);
    }
    each_pair(headers, c.prefix + "Session", [&](std::string name, const std::string& value) {
        c.session[std::move(name)] = url_decoded(value);
    });
    std::string wrong;
    for (const char* name : kSingleHeaders)
        if (headers.count(c.prefix + name) > 1)
            wrong = "the header " + c.prefix + name + " occurs twice";
    each_pair(headers, c.prefix + "Resource-Estimate",
              [&](const std::string& name, const std::string& value) {
                  if (name == "CPU_TIME" || name == "EXECUTION_TIME") {
                      const auto span = parse_duration(value);
                      if (!span)
                          wrong = name + ": " + span.error();
                      else if (*span > kMaxTimeEstimate)
                          wrong = name + ": '" + value + "' is too long";
                      else if (name == "CPU_TIME" || c.cpu_estimate == 0)
                          c.cpu_estimate = *span;
                  } else if (name == "PEAK_MEMORY") {
                      const auto size = parse_bytes(value);
                      if (!size)
                          wrong = name + ": " + size.error();
                      else if (*size > kMaxMemoryEstimate)
                          wrong = name + ": '" + value + "' is too large";
                      else
                          c.memory_estimate = *size;
                  }
              });
    for (const char* name : {"query_max_run_time", "query_max_execution_time"})
        if (const auto found = c.session.find(name); found != c.session.end()) {
            const auto span = parse_duration(found->second);
            if (!span)
                wrong = std::string(name) + ": " + span.error();
            else if (*span > 0)
                c.run_limit = c.run_limit == 0 ? *span : std::min(c.run_limit, *span);
        }
    if (!wrong.empty())
        return Error{wrong};
    return c;
}

http::Headers engine_headers(const Context& context, const std::map<std::string, std::string>& set,
                             const std::string& tag) {
    http::Headers out;
    std::string session;
    for (const auto& [key, value] : context.passed)
        if (!equals_ignore_case(key, context.prefix + "Session") &&
            (tag.empty() || !equals_ignore_case(key, context.prefix + "Client-Tags")))
            out.add(key, value);
    if (!tag.empty()) {
        std::string tags = tag;
        for (const auto& t : context.tags)
            if (!t.starts_with(tag.substr(0, tag.find('=') + 1)))
                tags += "," + t;
        out.add(context.prefix + "Client-Tags", tags);
    }
    auto all = context.session;
    for (const auto& [name, value] : set)
        all[name] = value;
    for (const auto& [name, value] : all)
        session += (session.empty() ? "" : ",") + name + "=" + url_encoded(value);
    if (!session.empty())
        out.add(context.prefix + "Session", session);
    return out;
}

void pass_response_headers(const http::Headers& from, http::Headers& to) {
    for (const auto& [key, value] : from)
        for (const std::string_view family : kFamilies)
            if (in_family(key, family))
                for (const std::string_view name : kPassedBack)
                    if (equals_ignore_case(key.substr(family.size()), name))
                        to.add(key, value);
}

}  // namespace gatetiller::statement
