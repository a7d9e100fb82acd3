#include "statement/load_report.hpp"

#include <cstdio>

#include "decide/reported_values.hpp"

namespace gatetiller::statement {
namespace {

constexpr std::pair<std::string_view, std::optional<double> LoadReport::*> kReportParts[] = {
    {"concurrent", &LoadReport::running_queries},
    {"depth", &LoadReport::queue_depth},
    {"load_share", &LoadReport::busy_cores_share},
    {"mean_ms", &LoadReport::mean_ms},
    {"tps", &LoadReport::tps},
    {"err_ps", &LoadReport::err_ps},
    {"memory_granted", &LoadReport::granted_memory_share},
    {"disks_busy", &LoadReport::busy_disks_share}};

std::optional<double> LoadReport::*report_member(std::string_view name) {
    for (const auto& [known, member] : kReportParts)
        if (known == name)
            return member;
    return nullptr;
}

}  // namespace

std::optional<LoadReport> read_report(const http::Headers& headers) {
    const auto text = headers.find_only(kLoadHeader);
    return text ? decide::read_load_report(*text, {',', '=', report_member}) : std::nullopt;
}

std::string write_report(const LoadReport& report) {
    std::string text;
    for (const auto& [name, member] : kReportParts)
        if (report.*member) {
            char value[32];
            std::snprintf(value, sizeof value, "%.4g", *(report.*member));
            text += (text.empty() ? "" : ",") + std::string(name) + "=" + value;
        }
    return text;
}

}  // namespace gatetiller::statement
