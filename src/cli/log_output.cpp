#include "cli/log_output.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace gatetiller::cli {

LogOutput::LogOutput(int descriptor) : given_(descriptor) {
    struct stat info {};
    if (::fstat(descriptor, &info) != 0 || S_ISREG(info.st_mode))
        return;
    kind_ = S_ISSOCK(info.st_mode) ? Kind::socket : Kind::pipe;
    if (kind_ == Kind::socket)
        return;
    // O_NONBLOCK belongs to the description, which other processes may share: so one of our own.
    const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
    own_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

LogOutput::~LogOutput() {
    flush();
    if (own_ >= 0)
        ::close(own_);
}

bool LogOutput::may_write() const {
    pollfd ready{given_, POLLOUT, 0};
    return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

long LogOutput::write_some(std::string_view bytes) const {
    if (kind_ == Kind::socket)
        return ::send(given_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (own_ >= 0)
        return ::write(own_, bytes.data(), bytes.size());
    if (kind_ == Kind::file)
        return ::write(given_, bytes.data(), bytes.size());
    // A pipe that can't be opened again: where poll says that it is ready, so many bytes don't block.
    if (!may_write()) {
        errno = EAGAIN;
        return -1;
    }
    return ::write(given_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

void LogOutput::flush() {
    std::size_t written = 0;
    while (written < pending_.size()) {
        const long n = write_some(std::string_view(pending_).substr(written));
        if (n > 0) {
            written += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN)
            break;
        // Its reader has gone, its disk is full or broken: what is kept may never be written.
        pending_.erase(0, written);
        return lose_pending();
    }
    pending_.erase(0, written);
}

void LogOutput::keep(std::string_view line) {
    if (pending_.size() + line.size() > kPendingMost)
        ++lost_;
    else
        pending_.append(line);
}

void LogOutput::lose_pending() {
    lost_ += static_cast<std::uint64_t>(std::count(pending_.begin(), pending_.end(), '\n'));
    pending_.clear();
}

void LogOutput::write(std::string_view line) {
    flush();
    if (lost_ > told_ && pending_.empty()) {
        pending_ = std::to_string(lost_ - told_) + " log lines lost\n";
        told_ = lost_;
    }
    keep(line);
    flush();
}

}  // namespace gatetiller::cli
