#include "cli/process.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>

namespace gatetiller::cli {

std::shared_ptr<spdlog::logger> make_logger(const std::string& format, const std::string& level) {
    auto logger =
        std::make_shared<spdlog::logger>("gatetiller", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    // In JSON each message is itself a list of members, so that one line is one object.
    logger->set_pattern(format == "json" ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                         : "%Y-%m-%d %H:%M:%S.%e %l %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    return logger;
}

std::string entropy() {
    unsigned char bytes[16];
    if (::getentropy(bytes, sizeof bytes) != 0) std::abort();  // slugs that can be guessed would be worse
    std::string hex;
    for (const unsigned char b : bytes) {
        hex += "0123456789abcdef"[b >> 4];
        hex += "0123456789abcdef"[b & 15];
    }
    return hex;
}

std::uint64_t random_seed() {
    std::uint64_t seed = 0;
    if (::getentropy(&seed, sizeof seed) != 0) std::abort();
    return seed;
}

std::size_t raise_open_files() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

}  // namespace gatetiller::cli
