// The active requests of a front node, by id and by their client's sequence number, and the memory that their
// statements hold.
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

// References to its requests stay valid until the loop's next turn after schedule_release().
class RequestTable {
public:
    explicit RequestTable(net::Loop& loop);

    // Its id must not be in the table.
    ActiveRequest& add(std::unique_ptr<ActiveRequest> request);
    bool contains(const std::string& id) const {
        return requests_.contains(id);
    }
    // Null where there is none.
    ActiveRequest* find(const std::string& id);
    // The request that the client knows by this sequence number, which means nothing from then on; null where
    // there is none.
    ActiveRequest* take_sequence(ClientId client, std::int32_t sequence);
    // The client's sequence number means nothing from now on.
    void forget_sequence(const ActiveRequest& request);
    // Releases it in a later turn of the loop.
    void schedule_release(const ActiveRequest& request);

    std::size_t size() const {
        return requests_.size();
    }
    // Bytes of the statements of all requests.
    std::size_t statement_bytes() const {
        return statement_bytes_;
    }
    // Those that the predicate is true for.
    std::vector<ActiveRequest*> select(const std::function<bool(ActiveRequest&)>& predicate);

private:
    void release(const std::string& id);

    std::unordered_map<std::string, std::unique_ptr<ActiveRequest>> requests_;
    std::map<std::pair<ClientId, std::int32_t>, std::string> ids_by_sequence_;
    std::size_t statement_bytes_ = 0;
    core::DeferredRelease deferred_release_;
};

}  // namespace gatetiller::node
