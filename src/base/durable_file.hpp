// A small file replaced as a whole: after a kill or a power loss at any moment the old content is there or
// the new one.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace gatetiller {

// Written beside (under a name that no other process uses), synced, moved into place, and the folder synced.
// Where any of that fails the old file stays, and nothing is left beside it.
Result<bool> replace_file(const std::string& file, std::string_view content);

}  // namespace gatetiller
