// The schema of a ledger file, and its migration from earlier versions.
//
// The SQLite header identifies a file: application_id marks it as a ledger, user_version is its schema
// version. A released migration step never changes; a new version adds a step.
#pragma once

#include <string>

#include "store/db.hpp"

namespace gatetiller::store {

constexpr int kSchemaVersion = 2;

// Migrates an open file to kSchemaVersion in one transaction; a new file gets all tables. With `read_only` an
// older version is left unchanged. Errors: foreign for a database of another program, an empty file opened
// read-only, or a later version; corrupt if the header can't be read.
StoreFailure migrate_schema(Db& db, bool read_only);

// Returns whether the file header is that of a ledger, even if the rest of the file is corrupt.
bool has_ledger_header(const std::string& file);

}  // namespace gatetiller::store
