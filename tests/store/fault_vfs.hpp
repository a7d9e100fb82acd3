// An SQLite VFS that fails the n-th write, sync, truncation or deletion, or simulates a power failure there:
// the write in progress is torn, later operations fail, and any subset of the unsynced writes may be lost.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "base/random.hpp"

namespace gatetiller::testing {

class FaultVfs {
public:
    explicit FaultVfs(std::string name, std::uint64_t seed) : random(seed), name_(std::move(name)) {
        base_vfs_ = sqlite3_vfs_find(nullptr);
        vfs_ = *base_vfs_;
        vfs_.szOsFile = static_cast<int>(sizeof(File)) + base_vfs_->szOsFile;
        vfs_.zName = name_.c_str();
        vfs_.pAppData = this;
        vfs_.xOpen = open;
        vfs_.xDelete = remove;
        vfs_.xAccess = [](sqlite3_vfs* v, const char* n, int f, int* out) {
            auto* base = self(v).base_vfs_;
            return base->xAccess(base, n, f, out);
        };
        vfs_.xFullPathname = [](sqlite3_vfs* v, const char* n, int size, char* out) {
            auto* base = self(v).base_vfs_;
            return base->xFullPathname(base, n, size, out);
        };
        sqlite3_vfs_register(&vfs_, 0);
    }
    ~FaultVfs() {
        sqlite3_vfs_unregister(&vfs_);
    }
    FaultVfs(const FaultVfs&) = delete;
    FaultVfs& operator=(const FaultVfs&) = delete;

    // Undoes a random subset of the writes since each file's last sync. Call after all connections are
    // closed.
    void lose_unsynced_writes() {
        for (auto& [file, undo] : unsynced_) {
            std::fstream f(file, std::ios::in | std::ios::out | std::ios::binary);
            if (!f)
                continue;
            for (auto u = undo.rbegin(); u != undo.rend(); ++u)
                if (random.chance(0.5)) {
                    f.seekp(u->at);
                    f.write(u->before.data(), static_cast<std::streamsize>(u->before.size()));
                }
        }
        unsynced_.clear();
    }
    void stop_failing() {
        fail_at = -1;
        crash_at = -1;
        failures = 0;
        crashed = false;
    }

    long operations = 0;
    long fail_at = -1;  // first operation that fails; -1: none
    int failures = 0;   // number of operations that fail
    int code = SQLITE_IOERR_WRITE;
    long crash_at = -1;
    bool crashed = false;
    Random random;

private:
    struct File {
        sqlite3_file base;
        FaultVfs* vfs;
        char name[512];
        sqlite3_file* real() {
            return reinterpret_cast<sqlite3_file*>(this + 1);
        }
    };
    struct Undo {
        sqlite3_int64 at;
        std::string before;
    };
    static FaultVfs& self(sqlite3_vfs* v) {
        return *static_cast<FaultVfs*>(v->pAppData);
    }
    static File& file(sqlite3_file* f) {
        return *reinterpret_cast<File*>(f);
    }

    // Counts one modifying operation. Returns the code with which it fails, or SQLITE_OK. Sets `torn` if
    // power is lost during it.
    int count_operation(bool& torn) {
        if (crashed)
            return SQLITE_IOERR;
        const long n = operations++;
        if (crash_at >= 0 && n >= crash_at) {
            torn = crashed = true;
            return SQLITE_IOERR;
        }
        if (fail_at >= 0 && n >= fail_at && failures > 0) {
            --failures;
            return code;
        }
        return SQLITE_OK;
    }
    static int open(sqlite3_vfs* v, sqlite3_filename n, sqlite3_file* f, int flags, int* out) {
        auto& owner = self(v);
        File& opened = file(f);
        opened.base.pMethods = nullptr;
        opened.vfs = &owner;
        std::snprintf(opened.name, sizeof opened.name, "%s", n ? n : "");
        if (owner.crashed)
            return SQLITE_IOERR;
        const int rc = owner.base_vfs_->xOpen(owner.base_vfs_, n, opened.real(), flags, out);
        if (rc == SQLITE_OK)
            opened.base.pMethods = methods();
        return rc;
    }
    static int remove(sqlite3_vfs* v, const char* n, int sync) {
        bool torn = false;
        auto& owner = self(v);
        if (const int rc = owner.count_operation(torn))
            return rc;
        owner.unsynced_.erase(n);
        return owner.base_vfs_->xDelete(owner.base_vfs_, n, sync);
    }
    static int write(sqlite3_file* f, const void* bytes, int size, sqlite3_int64 at) {
        File& opened = file(f);
        FaultVfs& owner = *opened.vfs;
        bool torn = false;
        const int rc = owner.count_operation(torn);
        if (rc != SQLITE_OK && !torn)
            return rc;
        const int n =
            torn ? static_cast<int>(owner.random.below(static_cast<std::uint64_t>(size) + 1)) : size;
        sqlite3_int64 length = 0;
        opened.real()->pMethods->xFileSize(opened.real(), &length);
        const auto existing_bytes = static_cast<int>(std::clamp<sqlite3_int64>(length - at, 0, n));
        // Beyond the end of the file the old contents are zeros, as a hole reads.
        Undo undo{at, std::string(static_cast<std::size_t>(n), '\0')};
        if (existing_bytes > 0)
            opened.real()->pMethods->xRead(opened.real(), undo.before.data(), existing_bytes, at);
        owner.unsynced_[opened.name].push_back(std::move(undo));
        const int write_result =
            n > 0 ? opened.real()->pMethods->xWrite(opened.real(), bytes, n, at) : SQLITE_OK;
        return torn ? rc : write_result;
    }
    static const sqlite3_io_methods* methods() {
        static const sqlite3_io_methods kMethods = {
            2,
            [](sqlite3_file* f) {
                return file(f).real()->pMethods->xClose(file(f).real());
            },
            [](sqlite3_file* f, void* to, int n, sqlite3_int64 at) {
                return file(f).real()->pMethods->xRead(file(f).real(), to, n, at);
            },
            write,
            [](sqlite3_file* f, sqlite3_int64 size) {
                bool torn = false;
                if (const int rc = file(f).vfs->count_operation(torn))
                    return rc;
                return file(f).real()->pMethods->xTruncate(file(f).real(), size);
            },
            [](sqlite3_file* f, int flags) {
                bool torn = false;
                if (const int rc = file(f).vfs->count_operation(torn))
                    return rc;
                file(f).vfs->unsynced_.erase(file(f).name);
                return file(f).real()->pMethods->xSync(file(f).real(), flags);
            },
            [](sqlite3_file* f, sqlite3_int64* size) {
                return file(f).real()->pMethods->xFileSize(file(f).real(), size);
            },
            [](sqlite3_file* f, int l) {
                return file(f).real()->pMethods->xLock(file(f).real(), l);
            },
            [](sqlite3_file* f, int l) {
                return file(f).real()->pMethods->xUnlock(file(f).real(), l);
            },
            [](sqlite3_file* f, int* out) {
                return file(f).real()->pMethods->xCheckReservedLock(file(f).real(), out);
            },
            [](sqlite3_file* f, int op, void* arg) {
                return file(f).real()->pMethods->xFileControl(file(f).real(), op, arg);
            },
            [](sqlite3_file* f) {
                return file(f).real()->pMethods->xSectorSize(file(f).real());
            },
            [](sqlite3_file* f) {
                return file(f).real()->pMethods->xDeviceCharacteristics(file(f).real());
            },
            [](sqlite3_file* f, int page, int size, int extend, void volatile** to) {
                return file(f).real()->pMethods->xShmMap(file(f).real(), page, size, extend, to);
            },
            [](sqlite3_file* f, int offset, int n, int flags) {
                return file(f).real()->pMethods->xShmLock(file(f).real(), offset, n, flags);
            },
            [](sqlite3_file* f) {
                file(f).real()->pMethods->xShmBarrier(file(f).real());
            },
            [](sqlite3_file* f, int del) {
                return file(f).real()->pMethods->xShmUnmap(file(f).real(), del);
            },
            nullptr,
            nullptr};
        return &kMethods;
    }

    std::string name_;
    sqlite3_vfs* base_vfs_ = nullptr;
    sqlite3_vfs vfs_{};
    std::map<std::string, std::vector<Undo>> unsynced_;
};

}  // namespace gatetiller::testing
