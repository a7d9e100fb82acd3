// Atomic replacement of a small file: after a crash or a power loss at any moment, the file has either its
// old or its new content.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace gatetiller {

// Writes `content` to a temporary file in the same directory, syncs it, renames it to `file` and syncs the
// directory. The name of the temporary file contains the process id, so that no other process uses it. If a
// step before the sync of the directory fails, the old file is unchanged and the temporary file is removed.
Result<bool> replace_file(const std::string& file, std::string_view content);

}  // namespace gatetiller
