// The last list of engines that a front held, kept in a file for its next start: a front that comes back
// while the list's source is out of reach begins with what it knew. A file that is missing, torn or of
// another make is passed over: the list is a help, never a condition.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"

namespace gatetiller::discovery {

// Written beside and moved into place, so that a kill at any moment leaves the old or the new one.
Result<bool> keep_last_list(const std::string& file, const std::vector<config::EngineSettings>& list);
Result<std::vector<config::EngineSettings>> read_last_list(const std::string& file);

}  // namespace gatetiller::discovery
