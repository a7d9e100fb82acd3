// What every sub-command needs of the process: logs, entropy, a seed.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <memory>
#include <string>

namespace gatetiller::cli {

// A logger to stderr. format: text or json; level: trace to error.
std::shared_ptr<spdlog::logger> make_logger(const std::string& format, const std::string& level);
std::string entropy();        // 32 hex digits from the kernel
std::uint64_t random_seed();  // from the kernel
// Raises this process's limit of open files as far as it may; what it then is.
std::size_t raise_open_files();

}  // namespace gatetiller::cli
