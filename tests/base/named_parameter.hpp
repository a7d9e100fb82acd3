// Parameters of tests that have a name, so that a test's name neither holds its value nor changes between
// runs.
#pragma once

#include <gtest/gtest.h>

#include <concepts>
#include <ostream>
#include <string>

namespace gatetiller::testing {

struct NamedParameter {
    const char* name;
};

template <std::derived_from<NamedParameter> Parameter>
void PrintTo(const Parameter& parameter, std::ostream* out) {
    *out << parameter.name;
}

// The name of an instantiated test, for INSTANTIATE_TEST_SUITE_P.
inline constexpr auto kParameterName = [](const auto& test) {
    return std::string(test.param.name);
};

}  // namespace gatetiller::testing
