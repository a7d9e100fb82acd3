#include "statement/load_report.hpp"

#include <cstdio>

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

}  // namespace

std::optional<LoadReport> read_report(const http::Headers& headers) {
    const auto text = headers.find(kLoadHeader);
    if (!text)
        return std::nullopt;
    LoadReport report;
    for (const auto part : split(*text, ','))
        for (const auto& [name, member] : kReportParts)
            if (part.starts_with(name) && part.size() > name.size() && part[name.size()] == '=')
                report.*member = to_number<double>(part.substr(name.size() + 1));
    return report;
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
