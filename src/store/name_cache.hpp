// Requesters and endpoints in rows of their own, which requests and attempts refer to, and a cache of them in
// both directions. Bounded: a direction that has grown too large is dropped and looked up again.
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

    // For writing: prepares its statements. Reading alone needs none.
    StoreFailure prepare();
    // Before the database is closed.
    void close();
    // After a batch was rolled back: rows that it added are gone.
    void clear();

    // The row of a requester or an endpoint, added where there is none. With a failure the row means nothing.
    std::int64_t requester_row(const decide::Requester& requester, StoreFailure& failure);
    std::int64_t endpoint_row(const std::string& name, const std::string& kind, StoreFailure& failure);

    // What stands in a row; empty texts where the row is missing or can't be read.
    std::shared_ptr<const decide::Requester> requester_at(std::int64_t row);
    // Name and kind of an endpoint; valid until the next call.
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
