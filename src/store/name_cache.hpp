// Tables of requesters and endpoints that requests and attempts refer to by row, with a cache in both
// directions. The cache is bounded: a direction that has grown too large is cleared and looked up again.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "decide/account.hpp"
#include "store/db.hpp"

namespace gatetiller::store {

class NameCache {
public:
    explicit NameCache(Db& db) : db_(db) {}

    // Prepares the statements for writing; not needed for reading.
    StoreFailure prepare();
    // Must be called before the database is closed.
    void close();
    // Must be called after a rollback, which removes the rows that the batch added.
    void clear();

    // Returns the row of a requester or an endpoint, which is added if missing. The result is meaningless if
    // `failure` is set.
    std::int64_t requester_row(const decide::Requester& requester, StoreFailure& failure);
    std::int64_t endpoint_row(const std::string& name, const std::string& kind, StoreFailure& failure);

    // Returns the contents of a row; empty strings if the row is missing or unreadable.
    std::shared_ptr<const decide::Requester> requester_at(std::int64_t row);
    // Returns the name and kind of an endpoint; valid until the next call.
    const std::pair<std::string, std::string>& endpoint_at(std::int64_t row);

private:
    Db& db_;
    Statement find_requester_;
    Statement add_requester_;
    Statement find_endpoint_;
    Statement add_endpoint_;
    std::unordered_map<std::string, std::int64_t> requester_rows_;
    std::unordered_map<std::string, std::int64_t> endpoint_rows_;
    std::unordered_map<std::int64_t, std::shared_ptr<const decide::Requester>> requesters_;
    std::map<std::int64_t, std::pair<std::string, std::string>> endpoints_;
};

}  // namespace gatetiller::store
