#include "decide/reported_values.hpp"

#include <map>

#include "base/text.hpp"

namespace gatetiller::decide {

std::optional<LoadReport> read_load_report(std::string_view text, const LoadReportSyntax& syntax) {
    std::map<std::string_view, std::optional<double>> values;
    for (const auto part : split(text, syntax.separator)) {
        const std::size_t name_end = part.find(syntax.assignment);
        if (name_end == std::string_view::npos)
            continue;
        const auto value = to_number_in<double>(part.substr(name_end + 1), 0, kMaxLoadValue);
        const auto [entry, is_new] = values.try_emplace(part.substr(0, name_end), value);
        if (!is_new)
            entry->second.reset();
    }
    LoadReport report;
    bool any = false;
    for (const auto& [name, value] : values) {
        const auto member = syntax.member_of(name);
        if (!member || !value)
            continue;
        report.*member = value;
        any = true;
    }
    return any ? std::optional(report) : std::nullopt;
}

}  // namespace gatetiller::decide
