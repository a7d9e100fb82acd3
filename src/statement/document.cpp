#include "statement/document.hpp"

#include <algorithm>

#include "base/text.hpp"
#include "statement/json.hpp"

namespace gatetiller::statement {
namespace {

// The maximum of a figure in the statistics, in milliseconds, bytes or rows.
constexpr double kMaxFigure = 1e15;

// States of a query, as published.
constexpr std::string_view kStates[] = {"QUEUED",      "WAITING_FOR_RESOURCES",
                                        "DISPATCHING", "PLANNING",
                                        "STARTING",    "RUNNING",
                                        "FINISHING",   "FINISHED",
                                        "FAILED"};

// Returns nothing unless the value is a number from 0 to kMaxFigure.
std::optional<std::int64_t> read_figure(std::string_view raw) {
    // It may be written with a fraction or an exponent.
    const auto value = to_number_in<double>(raw, 0, kMaxFigure);
    return value ? std::optional(static_cast<std::int64_t>(*value)) : std::nullopt;
}

std::int64_t read_error_code(std::string_view raw) {
    return to_number<std::int64_t>(raw).value_or(0);
}

constexpr std::pair<const char*, std::int64_t Stats::*> kNumbers[] = {
    {"nodes", &Stats::nodes},
    {"totalSplits", &Stats::total_splits},
    {"queuedSplits", &Stats::queued_splits},
    {"runningSplits", &Stats::running_splits},
    {"completedSplits", &Stats::completed_splits},
    {"cpuTimeMillis", &Stats::cpu_ms},
    {"wallTimeMillis", &Stats::wall_ms},
    {"queuedTimeMillis", &Stats::queued_ms},
    {"elapsedTimeMillis", &Stats::elapsed_ms},
    {"processedRows", &Stats::rows},
    {"processedBytes", &Stats::bytes},
    {"physicalInputBytes", &Stats::input_bytes},
    {"peakMemoryBytes", &Stats::peak_memory_bytes},
    {"spilledBytes", &Stats::spilled_bytes}};

bool read_state(std::string_view raw, Stats& stats) {
    auto state = as_string(raw);
    if (!state || std::find(std::begin(kStates), std::end(kStates), *state) == std::end(kStates))
        return false;
    stats.state = std::move(*state);
    return true;
}

template <typename T, typename To>
bool assign(const std::optional<T>& value, To& to) {
    if (value)
        to = *value;
    return value.has_value();
}

// Returns false if the value of a known member cannot be read; it keeps its default then.
bool read_stats_member(const Member& member, Stats& stats) {
    if (member.key == "queued")
        return assign(as_bool(member.raw), stats.queued);
    if (member.key == "scheduled")
        return assign(as_bool(member.raw), stats.scheduled);
    if (member.key == "progressPercentage")
        return assign(to_number_in<double>(member.raw, 0, 100), stats.progress);
    for (const auto& [key, to] : kNumbers)
        if (member.key == key)
            return assign(read_figure(member.raw), stats.*to);
    return true;
}

// Statistics without a state: the query may be executing.
Stats unknown_stats() {
    Stats stats;
    stats.state = "RUNNING";
    stats.valid = false;
    return stats;
}

Result<Stats> read_stats(std::string_view raw) {
    auto found = members(raw);
    if (!found)
        return Error{"stats: " + found.error()};
    Stats stats = unknown_stats();
    bool has_state = false;
    bool others_valid = true;
    for (const Member& member : *found) {
        if (member.raw == "null")
            continue;  // as if it were absent
        if (member.key == "state")
            has_state = read_state(member.raw, stats);
        else
            others_valid = read_stats_member(member, stats) && others_valid;
    }
    stats.valid = has_state && others_valid;
    return stats;
}

Result<StatementError> read_error(std::string_view raw) {
    auto found = members(raw);
    if (!found)
        return Error{"error: " + found.error()};
    StatementError e;
    for (const Member& m : *found) {
        if (m.key == "message")
            e.message = as_string(m.raw).value_or("");
        else if (m.key == "errorCode")
            e.code = read_error_code(m.raw);
        else if (m.key == "errorName")
            e.name = as_string(m.raw).value_or("");
        else if (m.key == "errorType")
            e.type = as_string(m.raw).value_or("");
    }
    return e;
}

constexpr std::pair<const char*, std::string Document::*> kTexts[] = {
    {"id", &Document::id},
    {"infoUri", &Document::info_uri},
    {"nextUri", &Document::next_uri},
    {"partialCancelUri", &Document::partial_cancel_uri},
    {"updateType", &Document::update_type}};

constexpr std::pair<const char*, std::string Document::*> kArrays[] = {
    {"columns", &Document::columns}, {"data", &Document::data}, {"warnings", &Document::warnings}};

bool is_json_number(std::string_view raw) {
    return raw.front() == '-' || (raw.front() >= '0' && raw.front() <= '9');
}

// Reads one member into the document. Fails if the member has another type than the protocol's: a document
// whose `nextUri` was ignored would look like the last one of a complete result.
Result<bool> read_member(const Member& member, Document& document) {
    for (const auto& [key, to] : kTexts) {
        if (member.key != key)
            continue;
        auto text = as_string(member.raw);
        if (!text)
            return Error{std::string(key) + " that is not a text"};
        document.*to = std::move(*text);
    }
    for (const auto& [key, to] : kArrays) {
        if (member.key != key)
            continue;
        if (member.raw.front() != '[')
            return Error{std::string(key) + " that is not an array"};
        document.*to = member.raw;
    }
    if (member.key == "updateCount") {
        if (!is_json_number(member.raw))
            return Error{"updateCount that is not a number"};
        document.update_count = member.raw;
    } else if (member.key == "stats") {
        auto stats = read_stats(member.raw);
        if (!stats)
            return stats.failure();
        document.stats = std::move(*stats);
        document.stats_text = member.raw;
    } else if (member.key == "error") {
        auto error = read_error(member.raw);
        if (!error)
            return error.failure();
        document.error = std::move(*error);
        document.error_text = member.raw;
    }
    return true;
}

}  // namespace

Result<Document> read_document(std::string_view text) {
    auto found = members(text);
    if (!found)
        return Error{found.error()};
    Document document;
    document.stats = unknown_stats();
    for (const Member& member : *found) {
        if (member.raw == "null")
            continue;  // as if it were absent
        const auto read = read_member(member, document);
        if (!read)
            return read.failure();
        if (member.key == "nextUri" && document.final())
            return Error{"an empty nextUri"};
    }
    if (document.id.empty())
        return Error{"a document without id"};
    return document;
}

std::string write_stats(const Stats& s) {
    std::string out = "{\"state\":" + json_string(s.state) + ",\"queued\":" + (s.queued ? "true" : "false") +
                      ",\"scheduled\":" + (s.scheduled ? "true" : "false") +
                      ",\"progressPercentage\":" + std::to_string(s.progress.value_or(0));
    for (const auto& [key, member] : kNumbers)
        out.append(",\"").append(key).append("\":").append(std::to_string(s.*member));
    return out += '}';
}

std::string write_document(const Document& d) {
    std::string out;
    out.reserve(600 + d.held_bytes());
    out.append("{\"id\":").append(json_string(d.id));
    const auto text = [&](const char* key, const std::string& value) {
        if (!value.empty())
            out.append(",\"").append(key).append("\":").append(json_string(value));
    };
    const auto raw = [&](const char* key, const std::string& value) {
        if (!value.empty())
            out.append(",\"").append(key).append("\":").append(value);
    };
    text("infoUri", d.info_uri);
    text("nextUri", d.next_uri);
    text("partialCancelUri", d.partial_cancel_uri);
    raw("columns", d.columns);
    raw("data", d.data);
    raw("stats", d.stats_text.empty() ? write_stats(d.stats) : d.stats_text);
    if (!d.error_text.empty()) {
        raw("error", d.error_text);
    } else if (d.error) {
        const StatementError& e = *d.error;
        out.append(",\"error\":{\"message\":")
            .append(json_string(e.message))
            .append(",\"errorCode\":")
            .append(std::to_string(e.code))
            .append(",\"errorName\":")
            .append(json_string(e.name))
            .append(",\"errorType\":")
            .append(json_string(e.type))
            .append(",\"failureInfo\":{\"type\":")
            .append(json_string("gatetiller." + e.name))
            .append(",\"message\":")
            .append(json_string(e.message))
            .append(",\"suppressed\":[],\"stack\":[]}}");
    }
    raw("warnings", d.warnings.empty() ? "[]" : d.warnings);
    text("updateType", d.update_type);
    raw("updateCount", d.update_count);
    return out += '}';
}

StatementError error_named(std::string_view name, std::string message) {
    struct Known {
        std::string_view name, type;
        std::int64_t code;
    };
    // From the public table of standard error codes: user errors from 0, internal ones from 65536, shortage
    // from 131072.
    constexpr Known kKnown[] = {{"USER_CANCELED", "USER_ERROR", 3},
                                {"ABANDONED_QUERY", "USER_ERROR", 8},
                                {"GENERIC_USER_ERROR", "USER_ERROR", 0},
                                {"SYNTAX_ERROR", "USER_ERROR", 1},
                                {"GENERIC_INTERNAL_ERROR", "INTERNAL_ERROR", 65536},
                                {"NO_NODES_AVAILABLE", "INSUFFICIENT_RESOURCES", 65540},
                                {"REMOTE_HOST_GONE", "INTERNAL_ERROR", 65544},
                                {"SERVER_SHUTTING_DOWN", "INTERNAL_ERROR", 65548},
                                {"GENERIC_INSUFFICIENT_RESOURCES", "INSUFFICIENT_RESOURCES", 131072},
                                {"QUERY_QUEUE_FULL", "INSUFFICIENT_RESOURCES", 131074},
                                {"EXCEEDED_TIME_LIMIT", "INSUFFICIENT_RESOURCES", 131075}};
    for (const Known& k : kKnown)
        if (k.name == name)
            return {std::move(message), std::string(name), std::string(k.type), k.code};
    return {std::move(message), "GENERIC_INTERNAL_ERROR", "INTERNAL_ERROR", 65536};
}

}  // namespace gatetiller::statement
