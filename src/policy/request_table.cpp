#include "policy/request_table.hpp"

namespace gatetiller::policy {

int RequestTable::find(const std::string& id) const {
    const auto found = slots_by_id_.find(id);
    return found == slots_by_id_.end() ? kNotFound : found->second;
}

int RequestTable::add(const std::string& id) {
    int slot = size();
    if (free_slots_.empty()) {
        requests_.emplace_back();
    } else {
        slot = free_slots_.back();
        free_slots_.pop_back();
    }
    ActiveRequest& request = requests_[slot];
    request = ActiveRequest{};
    request.in_use = true;
    request.id = id;
    request.sequence = ++last_sequence_;
    slots_by_id_.emplace(id, slot);
    return slot;
}

void RequestTable::release_if_finished(int slot) {
    ActiveRequest& request = requests_[slot];
    if (!request.in_use || !request.finished || request.has_open_attempt() || request.in_key_order)
        return;
    slots_by_id_.erase(request.id);
    request.in_use = false;
    free_slots_.push_back(slot);
}

}  // namespace gatetiller::policy
