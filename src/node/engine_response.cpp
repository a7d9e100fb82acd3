#include "node/engine_response.hpp"

#include <algorithm>
#include <string_view>

#include "decide/reported_values.hpp"
#include "platform/settings.hpp"

namespace gatetiller::node {
namespace {

constexpr std::size_t kMaxTextBytes = 160;
constexpr double kMaxWaitReason = 2;  // 1: memory, 2: a load

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

// Returns the maximum of AttemptProgress::value.
double max_progress_value(ProgressKind kind) {
    switch (kind) {
        case ProgressKind::fraction_done:
            return 1;
        case ProgressKind::spilling:
            return decide::kMaxMemoryMb;
        case ProgressKind::waiting:
            return kMaxWaitReason;
    }
    return 0;
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
    cost.work_ms = fields.number<double>("spent", 0, decide::kMaxWorkMs).value_or(0);
    cost.needed_mb = fields.number<double>("wanted", 0, decide::kMaxMemoryMb).value_or(0);
    return cost;
}

std::optional<LoadReport> read_load_report(const decide::ResponseFields& fields) {
    return decide::read_load_report(fields.find("gauges").value_or(""), {';', ':', platform::report_field});
}

std::optional<ProgressNote> read_progress(const decide::ResponseFields& fields) {
    const auto kind = progress_kind(fields.find("res").value_or(""));
    if (!kind)
        return std::nullopt;
    const auto value = fields.number<double>("amount", 0, max_progress_value(*kind));
    return value ? std::optional(ProgressNote{*kind, *value}) : std::nullopt;
}

}  // namespace gatetiller::node
