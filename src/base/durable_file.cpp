#include "base/durable_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

namespace gatetiller {
namespace {

bool write_all(int fd, std::string_view content) {
    while (!content.empty()) {
        const ssize_t n = ::write(fd, content.data(), content.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        content.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// Syncs and closes the descriptor. It is closed even if fsync fails: the kernel may report success for a
// later fsync of the same descriptor without having written the data.
bool sync_and_close(int fd, bool written) {
    const bool synced = written && ::fsync(fd) == 0;
    const int code = errno;
    const bool closed = ::close(fd) == 0 || errno == EINTR;
    if (!synced)
        errno = code;
    return synced && closed;
}

bool sync_parent_directory(const std::string& file) {
    const auto directory = std::filesystem::path(file).parent_path();
    const int fd = ::open(directory.empty() ? "." : directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    return fd >= 0 && sync_and_close(fd, true);
}

}  // namespace

Result<bool> replace_file(const std::string& file, std::string_view content) {
    const std::string temporary = file + "." + std::to_string(::getpid()) + ".new";
    const auto failed = [&](const char* message) {
        const int code = errno;
        ::unlink(temporary.c_str());
        return Error{file + ": " + message + ": " + std::strerror(code), code};
    };
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0)
        return failed("cannot be created");
    if (!sync_and_close(fd, write_all(fd, content)))
        return failed("cannot be written");
    if (std::rename(temporary.c_str(), file.c_str()) != 0)
        return failed("cannot be replaced");
    if (!sync_parent_directory(file))
        return Error{file + ": its directory cannot be synced: " + std::strerror(errno), errno};
    return true;
}

}  // namespace gatetiller
