// The requests that the policy holds, each in a slot that stays its own until it is over. Slots are reused,
// and a slot's number is valid only while its request is held. References are invalidated by `add`.
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

    // The slot of the request with this id, or kNotFound.
    int find(const std::string& id) const;
    // Adds a request with an id that is not held, and returns its slot.
    int add(const std::string& id);
    // Frees the slot of a request that is finished, has no open attempt and stands in no line of a key.
    void release_if_over(int slot);

    // Slots, in use or not.
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
