// Excludes a second process from a ledger by an advisory lock (flock) on the file `FILE.lock`.
#pragma once

#include <string>

#include "store/failure.hpp"

namespace gatetiller::store {

// Holds at most one lock, until release() or destruction. The lock file is never removed: otherwise two
// processes could hold locks on different files with the same name.
class FileLock {
public:
    FileLock() = default;
    FileLock(const FileLock&) = delete;
    FileLock& operator=(const FileLock&) = delete;
    ~FileLock() {
        release();
    }

    // Locks `file` without waiting, after releasing any earlier lock. Errors: locked if another process holds
    // the lock; read_only or no_access if the lock file can't be opened.
    StoreFailure acquire(const std::string& file);
    void release();

private:
    int descriptor_ = -1;
};

}  // namespace gatetiller::store
