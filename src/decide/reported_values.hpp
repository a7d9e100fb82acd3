// Ranges of the figures that engines and clients report. A figure outside its range counts as not reported:
// the policy keeps moving averages, in which a single infinity or a NaN would stay for good.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/events.hpp"

namespace gatetiller::decide {

// Core time of one request, in milliseconds.
constexpr double kMaxWorkMs = 1e8;
// Memory of one request, in MiB.
constexpr double kMaxMemoryMb = 1e7;
// Start of an engine, in milliseconds since 1970: the end of the year 9999.
constexpr std::int64_t kMaxStartMs = 253'402'300'799'999;
// A value of a load report: a count of queries, a rate per second, a mean in milliseconds or a share.
constexpr double kMaxLoadValue = 1e6;

// How a protocol writes a load report: parts between `separator`, each a name and a value around
// `assignment`.
struct LoadReportSyntax {
    char separator;
    char assignment;
    // Returns the member of LoadReport with that name, null if the name is unknown.
    std::optional<double> LoadReport::* (*member_of)(std::string_view name);
};

// Reads the valid values of a load report: numbers in their range whose names occur once. All others count as
// not reported. Returns nothing if there is no valid value.
std::optional<LoadReport> read_load_report(std::string_view text, const LoadReportSyntax& syntax);

}  // namespace gatetiller::decide
