// Parses durations and sizes with units, as written in configurations and headers: "750ms", "1.5h", "16GiB",
// "10GB".
#pragma once

#include <cmath>

#include "base/result.hpp"
#include "base/text.hpp"
#include "base/time.hpp"

namespace gatetiller {

namespace units {

struct Unit {
    std::string_view name;
    double factor;
};

template <std::size_t N>
Result<double> parse_with_unit(std::string_view text, const Unit (&units)[N], const char* quantity,
                               const char* allowed) {
    const std::string_view trimmed_text = trimmed(text);
    const std::size_t number_end = trimmed_text.find_first_not_of("0123456789.");
    const auto error = [&](const char* reason) {
        return Error{"'" + std::string(text) + "' is not a " + quantity + ": " + reason +
                     "; write a number and one of " + allowed};
    };
    if (number_end == std::string_view::npos)
        return error("the unit is missing");
    const auto value = to_number<double>(trimmed_text.substr(0, number_end));
    if (!value || !std::isfinite(*value))
        return error("it does not begin with a number");
    for (const Unit& unit : units)
        if (unit.name == trimmed(trimmed_text.substr(number_end))) {
            if (*value * unit.factor > 9e18)
                return error("it is too large");
            return *value * unit.factor;
        }
    return error("the unit is not known");
}

}  // namespace units

inline Result<Micros> parse_duration(std::string_view text) {
    constexpr units::Unit kUnits[] = {{"us", 1},       {"ms", 1e3},       {"s", 1e6},
                                      {"m", 60 * 1e6}, {"h", 3600 * 1e6}, {"d", 86400 * 1e6}};
    const auto value = units::parse_with_unit(text, kUnits, "time", "us, ms, s, m, h, d");
    if (!value)
        return Error{value.error()};
    return static_cast<Micros>(std::llround(*value));
}

inline Result<double> parse_bytes(std::string_view text) {
    constexpr units::Unit kUnits[] = {
        {"B", 1},     {"kB", 1e3},     {"KB", 1e3},        {"MB", 1e6},           {"GB", 1e9},
        {"TB", 1e12}, {"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}, {"TiB", 1099511627776.0}};
    return units::parse_with_unit(text, kUnits, "size", "B, kB, MB, GB, TB, KiB, MiB, GiB, TiB");
}

}  // namespace gatetiller
