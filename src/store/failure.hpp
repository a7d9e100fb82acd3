// What a store's operation can fail with, and the texts for it.
//
// `StoreError` (decide/ledger_state.hpp) is what callers decide by; the text is for people: it begins with
// the file's name, and says what to do where the operator has a choice.
#pragma once

#include <cstdint>
#include <string>

#include "decide/ledger_state.hpp"

namespace gatetiller::store {

using decide::StoreError;

// Success (`error` is none) or a failure. Converts to true for a failure.
struct StoreFailure {
    StoreError error = StoreError::none;
    std::string text;

    explicit operator bool() const {
        return error != StoreError::none;
    }
};

// An operation on a database that is not open: no_access.
StoreFailure not_open(const std::string& file);
// A database of another program: foreign.
StoreFailure foreign_database(const std::string& file);
// A ledger of a later schema version than `known`: foreign.
StoreFailure unknown_version(const std::string& file, std::int64_t version, std::int64_t known);
// A file without tables that may not be written: foreign.
StoreFailure empty_file(const std::string& file);
// A ledger whose lock another process holds: locked.
StoreFailure locked_by_another(const std::string& file);
// The lock file can't be opened, for the reason of `error_number` (errno): read_only or no_access.
StoreFailure lock_unavailable(const std::string& lock_file, int error_number);
// A damaged file that can't be moved away: io.
StoreFailure quarantine_failed(const std::string& file, const std::string& reason);

}  // namespace gatetiller::store
