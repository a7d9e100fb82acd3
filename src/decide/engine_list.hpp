// The list of engines as a front node keeps it: by the name service's ids, in the order of the service's
// numbers. What changed is handed to the module; what a good whole list no longer holds is gone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/brain.hpp"

namespace gatetiller::decide {

struct ListedEngine {
    std::string name;     // the service's id; never used for another engine
    std::string address;  // host:port; one that is gone may hand it on
    EngineState state = EngineState::on;
    std::string zone, kind;
    std::int64_t cell = 0;
    double share = 1;
    Micros started = 0;  // wall clock, microseconds since 1970; 0: long ago
    friend bool operator==(const ListedEngine&, const ListedEngine&) = default;
};

class EngineList {
public:
    // A whole list with its number, heard at `now` while the wall clock stood at `wall`. Nothing where it is
    // no newer than what is held, or changes nothing. The first one is told as the copy of the start. The wall clock
    // alone never makes a start old: an engine is no older than the last good list that lacked its start, and one of the
    // first list counts as new unless it looks hours old. It is older, though, by what the list's latest start is later.
    std::optional<ListChange> take(std::uint64_t number, const std::vector<ListedEngine>& list, Micros now,
                                   Micros wall);
    // The list of that number was heard again, unchanged.
    void confirm(std::uint64_t number, Micros now);
    std::uint64_t number() const { return number_; }
    Micros heard() const { return heard_; }  // when the list held was last confirmed
    const std::map<EngineId, ListedEngine>& engines() const { return engines_; }  // those not gone

private:
    Micros came_up(const ListedEngine& e, Micros latest_start, Micros now, Micros wall) const;

    std::uint64_t number_ = 0;
    Micros heard_ = 0;  // when the list held was last confirmed
    bool any_ = false;
    EngineId last_ = 0;
    std::map<std::string, EngineId> ids_;  // of those not gone
    std::map<EngineId, ListedEngine> engines_;
    std::map<EngineId, Micros> came_up_;  // on the loop's clock, reckoned once for each start
};

}  // namespace gatetiller::decide
