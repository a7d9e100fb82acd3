#include "statement/completed.hpp"

#include <cmath>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

#include "base/text.hpp"
#include "base/unique_members.hpp"

namespace gatetiller::statement {
namespace {

using Json = nlohmann::json;

// Far beyond any query; what is summed over a month of these still fits.
constexpr double kMostSeconds = 1e8;
constexpr std::int64_t kMostBytes = 1'000'000'000'000'000;
constexpr Micros kDay = 86'400 * kSecondMicros;

// Howard Hinnant's algorithm for the proleptic Gregorian calendar.
std::int64_t days_from_civil(std::int64_t y, int m, int d) {
    y -= m <= 2;
    const std::int64_t era = (y >= 0 ? y : y - 399) / 400;
    const std::int64_t yoe = y - era * 400, doy = (153 * (m + (m > 2 ? -3 : 9)) + 2) / 5 + d - 1;
    return era * 146097 + yoe * 365 + yoe / 4 - yoe / 100 + doy - 719468;
}

void civil_from_days(std::int64_t z, std::int64_t& y, int& m, int& d) {
    z += 719468;
    const std::int64_t era = (z >= 0 ? z : z - 146096) / 146097, doe = z - era * 146097;
    const std::int64_t yoe = (doe - doe / 1460 + doe / 36524 - doe / 146096) / 365;
    const std::int64_t doy = doe - (365 * yoe + yoe / 4 - yoe / 100), mp = (5 * doy + 2) / 153;
    d = static_cast<int>(doy - (153 * mp + 2) / 5 + 1);
    m = static_cast<int>(mp < 10 ? mp + 3 : mp - 9);
    y = yoe + era * 400 + (m <= 2);
}

// "PT1H2M3.5S"; days and smaller only, as Java's durations have it.
Result<Micros> read_iso_span(std::string_view text) {
    double seconds = 0;
    const auto wrong = Error{"'" + std::string(text) + "' is not a duration such as PT1.5S"};
    if (!text.starts_with("P"))
        return wrong;
    for (std::size_t at = 1; at < text.size();) {
        if (text[at] == 'T') {
            ++at;
            continue;
        }
        const std::size_t end = text.find_first_not_of("0123456789.-", at);
        if (end == std::string_view::npos)
            return wrong;
        const auto n = to_number<double>(text.substr(at, end - at));
        const double unit = text[end] == 'D'   ? 86400
                            : text[end] == 'H' ? 3600
                            : text[end] == 'M' ? 60
                            : text[end] == 'S' ? 1
                                               : 0;
        if (!n || unit == 0)
            return wrong;
        seconds += *n * unit;
        at = end + 1;
    }
    if (!(seconds >= 0 && seconds < kMostSeconds))
        return wrong;
    return static_cast<Micros>(std::llround(seconds * kSecondMicros));
}

}  // namespace

std::string utc_text(Micros t) {
    std::int64_t day = t / kDay, y = 0;
    if (t % kDay < 0)
        --day;
    const std::int64_t rest = t - day * kDay;
    int m = 0, d = 0;
    civil_from_days(day, y, m, d);
    char text[64];
    const auto s = rest / kSecondMicros;
    std::snprintf(text, sizeof text, "%04lld-%02d-%02dT%02d:%02d:%02d.%06dZ", static_cast<long long>(y), m, d,
                  static_cast<int>(s / 3600), static_cast<int>(s / 60 % 60), static_cast<int>(s % 60),
                  static_cast<int>(rest % kSecondMicros));
    return text;
}

Result<Micros> read_utc(std::string_view text) {
    const auto wrong = Error{"'" + std::string(text) + "' is not a time such as 2026-11-01T00:00:00Z"};
    const auto number = [&](std::size_t at, std::size_t n) {
        return at + n <= text.size() ? to_number<int>(text.substr(at, n)) : std::nullopt;
    };
    const auto y = number(0, 4), mo = number(5, 2), d = number(8, 2), h = number(11, 2), mi = number(14, 2),
               s = number(17, 2);
    if (!y || !mo || !d || !h || !mi || !s || text[4] != '-' || text[7] != '-' || text[10] != 'T' ||
        text[13] != ':' || text[16] != ':' || *mo < 1 || *mo > 12 || *d < 1 || *d > 31 || *h < 0 || *h > 23 ||
        *mi < 0 || *mi > 59 || *s < 0 || *s > 60 || *y < 0)
        return wrong;
    Micros t = days_from_civil(*y, *mo, *d) * kDay + ((*h * 60 + *mi) * 60LL + *s) * kSecondMicros;
    std::size_t at = 19;
    if (at < text.size() && text[at] == '.') {
        Micros unit = 100'000;
        for (++at; at < text.size() && text[at] >= '0' && text[at] <= '9'; ++at, unit /= 10)
            t += (text[at] - '0') * unit;
    }
    const std::string_view zone = text.substr(at);
    if (zone == "Z")
        return t;
    if (zone.size() != 6 || (zone[0] != '+' && zone[0] != '-') || zone[3] != ':')
        return wrong;
    const auto oh = to_number<int>(zone.substr(1, 2)), om = to_number<int>(zone.substr(4, 2));
    if (!oh || !om || *oh > 18 || *om > 59)
        return wrong;
    const Micros offset = (*oh * 60 + *om) * 60 * kSecondMicros;
    return zone[0] == '+' ? t - offset : t + offset;
}

Result<Completed> read_completed(std::string_view text) {
    UniqueMembers members;
    const Json j = Json::parse(text.begin(), text.end(), std::ref(members), false);
    if (!j.is_object())
        return Error{"not a JSON object"};
    if (members.repeated())
        return Error{"member '" + *members.repeated() + "' occurs twice"};
    Completed c;
    std::string wrong;
    static const Json kNone = Json::object();
    const auto part = [&](const char* name) -> const Json& {
        const auto found = j.find(name);
        if (found == j.end() || found->is_null())
            return kNone;
        if (!found->is_object())
            wrong = std::string(name) + " is not an object";
        return found->is_object() ? *found : kNone;
    };
    const auto find = [](const Json& in, const char* name) -> const Json* {
        const auto found = in.find(name);
        return found == in.end() || found->is_null() ? nullptr : &*found;
    };
    const auto string = [&](const Json& in, const char* name, std::string& to) {
        if (const Json* v = find(in, name)) {
            if (v->is_string())
                to = v->get<std::string>();
            else
                wrong = std::string(name) + " is not a string";
        }
    };
    const auto whole = [&](const Json& in, const char* name, std::int64_t& to) {
        if (const Json* v = find(in, name)) {
            if (v->is_number_integer() && v->get<std::int64_t>() >= 0 && v->get<std::int64_t>() < kMostBytes)
                to = v->get<std::int64_t>();
            else
                wrong = std::string(name) + " is not a number of bytes or rows";
        }
    };
    const auto span = [&](const Json& in, const char* name, Micros& to) {
        const Json* v = find(in, name);
        if (!v)
            return;
        if (v->is_number() && v->get<double>() >= 0 && v->get<double>() < kMostSeconds)
            to = static_cast<Micros>(std::llround(v->get<double>() * kSecondMicros));
        else if (const auto t =
                     v->is_string() ? read_iso_span(v->get<std::string>()) : Result<Micros>(Error{"it"});
                 t)
            to = *t;
        else
            wrong = std::string(name) + " is not a duration";
    };
    const auto time = [&](const char* name, Micros& to) {
        const Json* v = find(j, name);
        if (!v)
            return void(wrong = std::string(name) + " is missing");
        if (v->is_number() && v->get<double>() >= 0 && v->get<double>() < 1e11) {
            to = static_cast<Micros>(std::llround(v->get<double>() * kSecondMicros));
        } else {
            const auto t = v->is_string() ? read_utc(v->get<std::string>()) : Result<Micros>(Error{"it"});
            if (t && *t >= 0)
                to = *t;
            else
                wrong = std::string(name) + " is not a time";
        }
    };
    const Json &metadata = part("metadata"), &statistics = part("statistics"), &context = part("context"),
               &failure = part("failureInfo");
    string(metadata, "queryId", c.id);
    string(metadata, "queryState", c.state);
    span(statistics, "cpuTime", c.cpu);
    span(statistics, "wallTime", c.wall);
    span(statistics, "queuedTime", c.queued);
    whole(statistics, "peakUserMemoryBytes", c.peak_memory_bytes);
    whole(statistics, "spilledBytes", c.spilled_bytes);
    whole(statistics, "outputBytes", c.output_bytes);
    whole(statistics, "outputRows", c.output_rows);
    string(context, "user", c.user);
    string(context, "source", c.source);
    string(context, "traceToken", c.trace_token);
    string(context, "userAgent", c.user_agent);
    string(context, "serverAddress", c.server);
    string(context, "environment", c.environment);
    if (const Json* tags = find(context, "clientTags")) {
        if (!tags->is_array())
            wrong = "clientTags is not an array";
        else
            for (const Json& tag : *tags) {
                if (tag.is_string())
                    c.tags.push_back(tag.get<std::string>());
                else
                    wrong = "clientTags holds something else than strings";
            }
    }
    if (const Json* code = find(failure, "errorCode"); code && code->is_object())
        string(*code, "name", c.error_name), string(*code, "type", c.error_type);
    time("createTime", c.created);
    time("endTime", c.ended);
    if (c.id.empty())
        wrong = "metadata.queryId is missing";
    if (!wrong.empty())
        return Error{wrong};
    return c;
}

std::string write_completed(const Completed& c) {
    const auto seconds = [](Micros t) {
        return static_cast<double>(t) / kSecondMicros;
    };
    Json j = {{"metadata", {{"queryId", c.id}, {"queryState", c.state}}},
              {"statistics",
               {{"cpuTime", seconds(c.cpu)},
                {"wallTime", seconds(c.wall)},
                {"queuedTime", seconds(c.queued)},
                {"peakUserMemoryBytes", c.peak_memory_bytes},
                {"spilledBytes", c.spilled_bytes},
                {"outputBytes", c.output_bytes},
                {"outputRows", c.output_rows}}},
              {"context",
               {{"user", c.user},
                {"source", c.source},
                {"traceToken", c.trace_token},
                {"userAgent", c.user_agent},
                {"clientTags", c.tags},
                {"serverAddress", c.server},
                {"environment", c.environment}}},
              {"failureInfo", nullptr},
              {"createTime", utc_text(c.created)},
              {"endTime", utc_text(c.ended)}};
    if (!c.error_name.empty())
        j["failureInfo"] = {{"errorCode", {{"name", c.error_name}, {"type", c.error_type}}}};
    return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace gatetiller::statement
