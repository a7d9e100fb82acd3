// The schema of a ledger file, and its migration from earlier versions.
//
// A file names itself in SQLite's header: application_id says that it is a ledger, user_version is its schema
// version. A migration step that was released never changes; a new version adds a step.
#pragma once

#include <string>

#include "store/db.hpp"

namespace gatetiller::store {

constexpr int kSchemaVersion = 2;

// Brings an open file to kSchemaVersion, in one transaction; a new file gets all tables. With `read_only` an
// older version is left as it is. Errors: foreign for a database of another program, an empty file that may
// not be written, or a later version; corrupt where the header can't be read.
StoreFailure migrate_schema(Db& db, bool read_only);

// Whether the file's header says that it is a ledger, however damaged the rest of it is.
bool has_ledger_header(const std::string& file);

}  // namespace gatetiller::store
