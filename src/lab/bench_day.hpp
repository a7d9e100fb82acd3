// A day of the operators' bench, as `lbsim draw` writes it, turned into a script of this lab, so that the
// same troubles at the same times go through the real front.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/result.hpp"

namespace gatetiller::lab {

// What the day holds and a script can't say is listed in `left_out`, one line each.
Result<nlohmann::json> script_of_bench_day(const nlohmann::json& day, std::vector<std::string>& left_out);

}  // namespace gatetiller::lab
