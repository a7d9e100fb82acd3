// The lock that keeps a second process off a ledger: an advisory lock (flock) on the file `FILE.lock`.
#pragma once

#include <string>

#include "store/failure.hpp"

namespace gatetiller::store {

// Holds at most one lock, until release() or its end. The lock file stays: removing it would let two
// processes hold locks on different files of one name.
class FileLock {
public:
    FileLock() = default;
    FileLock(const FileLock&) = delete;
    FileLock& operator=(const FileLock&) = delete;
    ~FileLock() {
        release();
    }

    // Locks `file`, without waiting; a lock held before is released first. Errors: locked where another
    // process has it; read_only or no_access where the lock file can't be opened.
    StoreFailure acquire(const std::string& file);
    void release();

private:
    int descriptor_ = -1;
};

}  // namespace gatetiller::store
