// The active requests of a front node, by id and by client and sequence number, and the total size of their
// statements.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/deferred_release.hpp"
#include "node/active_request.hpp"

namespace gatetiller::node {

// References to requests remain valid until the loop's next turn after schedule_release().
class RequestTable {
public:
    explicit RequestTable(net::Loop& loop);

    // The request's id must not be in the table.
    ActiveRequest& add(std::unique_ptr<ActiveRequest> request);
    bool contains(const std::string& id) const {
        return requests_.contains(id);
    }
    // Returns null if there is none.
    ActiveRequest* find(const std::string& id);
    // Returns the client's request with this sequence number and removes the sequence number from the table;
    // null if there is none.
    ActiveRequest* extract_by_sequence(ClientId client, std::int32_t sequence);
    // Removes the request's sequence number from the table.
    void erase_sequence(const ActiveRequest& request);
    // Releases the request in a later turn of the loop.
    void schedule_release(const ActiveRequest& request);

    std::size_t size() const {
        return requests_.size();
    }
    // Total size of the statements of all requests, in bytes.
    std::size_t statement_bytes() const {
        return statement_bytes_;
    }
    // Returns the requests for which the predicate is true.
    std::vector<ActiveRequest*> select(const std::function<bool(ActiveRequest&)>& predicate);

private:
    void release(const std::string& id);

    std::unordered_map<std::string, std::unique_ptr<ActiveRequest>> requests_;
    std::map<std::pair<ClientId, std::int32_t>, std::string> ids_by_sequence_;
    std::size_t statement_bytes_ = 0;
    core::DeferredRelease deferred_release_;
};

}  // namespace gatetiller::node
