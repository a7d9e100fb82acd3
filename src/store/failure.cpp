#include "store/failure.hpp"

#include <cerrno>
#include <system_error>

namespace gatetiller::store {

StoreFailure not_open(const std::string& file) {
    return {StoreError::no_access, file + ": the database is not open"};
}

StoreFailure foreign_database(const std::string& file) {
    return {StoreError::foreign,
            file + ": database of another program; configure another file for the ledger"};
}

StoreFailure unknown_version(const std::string& file, std::int64_t version, std::int64_t known) {
    return {StoreError::foreign, file + ": ledger of schema version " + std::to_string(version) +
                                     ", but this program supports versions up to " + std::to_string(known) +
                                     "; use a newer program or another file"};
}

StoreFailure empty_file(const std::string& file) {
    return {StoreError::foreign, file + ": empty file, not a ledger"};
}

StoreFailure locked_by_another(const std::string& file) {
    return {StoreError::locked, file + ": locked by another process; each front needs its own ledger file"};
}

StoreFailure lock_unavailable(const std::string& lock_file, int error_number) {
    const StoreError error = error_number == EROFS ? StoreError::read_only : StoreError::no_access;
    return {error, lock_file + ": " + std::generic_category().message(error_number)};
}

StoreFailure quarantine_failed(const std::string& file, const std::string& reason) {
    return {StoreError::io, file + ": " + reason};
}

}  // namespace gatetiller::store
