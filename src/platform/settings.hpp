// platform: what the operators' platform tells a front of its settings, in one form for the simulator's wire
// and for a front node's configuration file. Translation only.
#pragma once

#include <optional>
#include <string_view>

#include "base/result.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::platform {

// The settings object as JSON text. What is absent has the value of the interface; a value of a wrong kind or
// an unknown word is an error that names it.
Result<PolicySettings> parse_settings(std::string_view json);

// Where a named value of a load report belongs; nullptr for a name that is not known.
std::optional<double> LoadReport::*report_field(std::string_view name);

}  // namespace gatetiller::platform
