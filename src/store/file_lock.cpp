#include "store/file_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>

namespace gatetiller::store {

StoreFailure FileLock::acquire(const std::string& file) {
    static constexpr mode_t kMode = 0644;
    release();
    const std::string lock_file = file + ".lock";
    descriptor_ = ::open(lock_file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kMode);
    if (descriptor_ < 0)
        return lock_unavailable(lock_file, errno);
    if (::flock(descriptor_, LOCK_EX | LOCK_NB) == 0)
        return {};
    release();
    return locked_by_another(file);
}

void FileLock::release() {
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

}  // namespace gatetiller::store
