#include "statement/load_report.hpp"

#include <cstdio>

namespace gatetiller::statement {
namespace {

constexpr std::pair<std::string_view, std::optional<double> Report::*> kReportParts[] = {
    {"concurrent", &Report::concurrent},
    {"depth", &Report::depth},
    {"load_share", &Report::load_share},
    {"mean_ms", &Report::mean_ms},
    {"tps", &Report::tps},
    {"err_ps", &Report::err_ps},
    {"memory_granted", &Report::memory_granted},
    {"disks_busy", &Report::disks_busy}};

}  // namespace

std::optional<Report> read_report(const http::Headers& headers) {
    const auto text = headers.find(kLoadHeader);
    if (!text)
        return std::nullopt;
    Report report;
    for (const auto part : split(*text, ','))
        for (const auto& [name, member] : kReportParts)
            if (part.starts_with(name) && part.size() > name.size() && part[name.size()] == '=')
                report.*member = to_number<double>(part.substr(name.size() + 1));
    return report;
}

std::string write_report(const Report& report) {
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
