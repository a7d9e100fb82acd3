// Table of the active requests. A request keeps its slot until it is released; then the slot is reused, and
// its number is no longer valid. References are invalidated by `add`.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/active_request.hpp"

namespace gatetiller::policy {

class RequestTable {
public:
    static constexpr int kNotFound = -1;

    // Returns the slot of the request with this id, or kNotFound.
    int find(const std::string& id) const;
    // Adds a request and returns its slot. No active request may have the same id.
    int add(const std::string& id);
    // Frees the slot of a request that is finished, has no open attempt and is in no ordering key's queue.
    void release_if_finished(int slot);

    // Returns the number of slots, used and free.
    int size() const {
        return static_cast<int>(requests_.size());
    }
    ActiveRequest& operator[](int slot) {
        return requests_[slot];
    }
    const ActiveRequest& operator[](int slot) const {
        return requests_[slot];
    }

private:
    std::vector<ActiveRequest> requests_;
    std::vector<int> free_slots_;
    std::unordered_map<std::string, int> slots_by_id_;
    std::uint64_t last_sequence_ = 0;
};

}  // namespace gatetiller::policy
