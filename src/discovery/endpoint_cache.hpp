// The last endpoint list that a front received, cached in a file for its next start while the list's source
// is unavailable. A front starts without it as well: a file that is missing, truncated or of another form is
// an error for the log only.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"

namespace gatetiller::discovery {

// Replaces the file atomically, so that a kill at any moment leaves the old or the new list. Fails, with
// errno as the code, where the file cannot be written.
Result<bool> save_cached_endpoints(const std::string& file, const std::vector<config::EngineSettings>& list);

// Fails where the file cannot be read or does not hold a complete list.
Result<std::vector<config::EngineSettings>> load_cached_endpoints(const std::string& file);

}  // namespace gatetiller::discovery
