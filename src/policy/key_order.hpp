// Serializes the requests of one ordering key in order of arrival (rule 5). After an attempt that may still
// be running at its endpoint the key is paused: later requests wait until the pause ends.
#pragma once

#include <deque>
#include <iterator>
#include <map>
#include <string>

#include "base/time.hpp"
#include "policy/request_table.hpp"

namespace gatetiller::policy {

class KeyOrder {
public:
    // Appends a request to the queue of its ordering key.
    void add(RequestTable& requests, int slot);
    // Returns whether the ordering key allows the request to be dispatched.
    bool allows_dispatch(const RequestTable& requests, const ActiveRequest& request, Micros now) const;
    // Prevents the dispatch of later requests of the key before `until`.
    void pause(const std::string& key, Micros until);
    // Removes finished requests from the heads of the queues, and expired pauses. Calls `on_head(slot)` for
    // the head of each remaining queue.
    template <typename OnHead>
    void advance(RequestTable& requests, Micros now, OnHead on_head);

private:
    static void drop_finished_heads(RequestTable& requests, std::deque<int>& queue);

    std::map<std::string, std::deque<int>> queues_;  // slots by ordering key
    std::map<std::string, Micros> paused_until_;
};

template <typename OnHead>
void KeyOrder::advance(RequestTable& requests, Micros now, OnHead on_head) {
    for (auto it = queues_.begin(); it != queues_.end();) {
        std::deque<int>& queue = it->second;
        drop_finished_heads(requests, queue);
        if (!queue.empty())
            on_head(queue.front());
        it = queue.empty() ? queues_.erase(it) : std::next(it);
    }
    std::erase_if(paused_until_, [now](const auto& pause) {
        return now >= pause.second;
    });
}

}  // namespace gatetiller::policy
