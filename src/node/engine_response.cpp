#include "node/engine_response.hpp"

#include <algorithm>
#include <string_view>

#include "base/text.hpp"
#include "platform/settings.hpp"

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxTextBytes = 160;

// Returns the kind of progress by the name of its resource.
std::optional<ProgressKind> progress_kind(std::string_view resource) {
    if (resource == "so_far")
        return ProgressKind::fraction_done;
    if (resource == "lacking")
        return ProgressKind::spilling;
    if (resource == "waiting")
        return ProgressKind::waiting;
    return std::nullopt;
}

bool is_printable(char c) {
    return c >= ' ' && c <= '~';
}

}  // namespace

std::string EngineResponse::text() const {
    std::string text = (id + " " + kind + " " + fields).substr(0, kMaxTextBytes);
    std::replace_if(
        text.begin(), text.end(),
        [](char c) {
            return !is_printable(c);
        },
        '?');
    return text;
}

std::optional<std::size_t> read_page_count(const decide::ResponseFields& fields) {
    return fields.number<std::size_t>("chunks", 1, decide::ResultPages::kMaxPages);
}

std::optional<std::size_t> read_page_number(const decide::ResponseFields& fields) {
    return fields.number<std::size_t>("at", 1, decide::ResultPages::kMaxPages - 1);
}

ReportedCost read_cost(const decide::ResponseFields& fields) {
    ReportedCost cost;
    cost.work_ms = to_number<double>(fields.find("spent").value_or("")).value_or(0);
    cost.needed_mb = to_number<double>(fields.find("wanted").value_or("")).value_or(0);
    return cost;
}

std::optional<LoadReport> read_load_report(const decide::ResponseFields& fields) {
    LoadReport report;
    bool any = false;
    for (const auto part : split(fields.find("gauges").value_or(""), ';')) {
        const std::size_t colon = part.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto member = platform::report_field(part.substr(0, colon));
        const auto value = to_number<double>(part.substr(colon + 1));
        if (!member || !value)
            continue;
        report.*member = *value;
        any = true;
    }
    return any ? std::optional(report) : std::nullopt;
}

std::optional<ProgressNote> read_progress(const decide::ResponseFields& fields) {
    const auto value = to_number<double>(fields.find("amount").value_or(""));
    const auto kind = progress_kind(fields.find("res").value_or(""));
    if (!value || !kind)
        return std::nullopt;
    return ProgressNote{*kind, *value};
}

}  // namespace gatetiller::node
