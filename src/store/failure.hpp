// Failures of store operations, and their messages.
//
// Callers decide by `StoreError` (decide/ledger_state.hpp). The text is for operators: it begins with the
// file name and says what to do if there is a remedy.
#pragma once

#include <cstdint>
#include <string>

#include "decide/ledger_state.hpp"

namespace gatetiller::store {

using decide::StoreError;

// Success (`error` is none) or a failure. Converts to true if it is a failure.
struct StoreFailure {
    StoreError error = StoreError::none;
    std::string text;

    explicit operator bool() const {
        return error != StoreError::none;
    }
};

// An operation on a database that is not open: no_access.
StoreFailure not_open(const std::string& file);
// The file is a database of another program: foreign.
StoreFailure foreign_database(const std::string& file);
// The ledger has a schema version later than `known`: foreign.
StoreFailure unknown_version(const std::string& file, std::int64_t version, std::int64_t known);
// The file has no tables and was opened read-only: foreign.
StoreFailure empty_file(const std::string& file);
// Another process holds the lock of the ledger: locked.
StoreFailure locked_by_another(const std::string& file);
// The lock file can't be opened, for the reason in `error_number` (errno): read_only or no_access.
StoreFailure lock_unavailable(const std::string& lock_file, int error_number);
// A corrupt file can't be renamed: io.
StoreFailure quarantine_failed(const std::string& file, const std::string& reason);

}  // namespace gatetiller::store
