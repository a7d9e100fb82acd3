// What an engine says of its load, in a header of its own on any answer: comma-separated name=value parts.
// Engines that don't send it are simply not heard of.
#pragma once

#include <optional>
#include <string>

#include "http/message.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::statement {

constexpr std::string_view kLoadHeader = "X-Gatetiller-Load";
// Returns the valid values, or nothing if there is none or the header occurs twice.
std::optional<LoadReport> read_report(const http::Headers& headers);
std::string write_report(const LoadReport& report);

}  // namespace gatetiller::statement
