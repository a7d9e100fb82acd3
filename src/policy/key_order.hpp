// Runs the requests of one ordering key one after another, in the order of arrival (rule 5). After an attempt
// that may still be running somewhere, the key pauses: later requests wait until the pause is over.
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
    // Puts a request with an ordering key at the end of its key's line.
    void add(RequestTable& requests, int slot);
    // Whether a request may be dispatched as far as its key's order goes.
    bool has_turn(const RequestTable& requests, const ActiveRequest& request, Micros now) const;
    // No later request of the key may be dispatched before `until`.
    void pause(const std::string& key, Micros until);
    // Drops the requests that are over from the heads of the lines, and ends pauses. Calls
    // `on_head(slot)` for the head of each line that is left.
    template <typename OnHead>
    void advance(RequestTable& requests, Micros now, OnHead on_head);

private:
    static void drop_finished_heads(RequestTable& requests, std::deque<int>& line);

    std::map<std::string, std::deque<int>> lines_;  // slots
    std::map<std::string, Micros> paused_until_;
};

template <typename OnHead>
void KeyOrder::advance(RequestTable& requests, Micros now, OnHead on_head) {
    for (auto it = lines_.begin(); it != lines_.end();) {
        std::deque<int>& line = it->second;
        drop_finished_heads(requests, line);
        if (!line.empty())
            on_head(line.front());
        it = line.empty() ? lines_.erase(it) : std::next(it);
    }
    std::erase_if(paused_until_, [now](const auto& pause) {
        return now >= pause.second;
    });
}

}  // namespace gatetiller::policy
