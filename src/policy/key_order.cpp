#include "policy/key_order.hpp"

namespace gatetiller::policy {

void KeyOrder::add(RequestTable& requests, int slot) {
    ActiveRequest& request = requests[slot];
    request.in_key_order = true;
    queues_[request.ordering_key].push_back(slot);
}

bool KeyOrder::allows_dispatch(const RequestTable& requests, const ActiveRequest& request, Micros now) const {
    if (!request.in_key_order)
        return true;
    if (requests[queues_.at(request.ordering_key).front()].sequence != request.sequence)
        return false;
    // The pause applies to later requests, not to retries of the request that caused it.
    const auto pause = paused_until_.find(request.ordering_key);
    return !request.attempts.empty() || pause == paused_until_.end() || now >= pause->second;
}

void KeyOrder::pause(const std::string& key, Micros until) {
    paused_until_[key] = until;
}

void KeyOrder::drop_finished_heads(RequestTable& requests, std::deque<int>& queue) {
    while (!queue.empty() && requests[queue.front()].finished &&
           !requests[queue.front()].has_open_attempt()) {
        const int slot = queue.front();
        requests[slot].in_key_order = false;
        requests.release_if_finished(slot);
        queue.pop_front();
    }
}

}  // namespace gatetiller::policy
