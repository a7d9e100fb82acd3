// Caches the last endpoint list that a front received in a file, for a start while the source of the list is
// unavailable. A front also starts without it: a missing, truncated or malformed file is only logged.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"

namespace gatetiller::discovery {

// Replaces the file atomically: if the process is killed, the file contains either the old or the new list.
// Fails, with errno as the code, if the file can't be written.
Result<bool> save_cached_endpoints(const std::string& file, const std::vector<config::EngineSettings>& list);

// Fails if the file can't be read or doesn't contain a complete list.
Result<std::vector<config::EngineSettings>> load_cached_endpoints(const std::string& file);

}  // namespace gatetiller::discovery
