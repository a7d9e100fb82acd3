// What a front makes of all that it hears about one engine: the list's word, the engine's own word about its
// state and its uptime. The module is told of the strictest: an engine that drains by either account gets
// nothing new, and a process that started anew is a cold one, whatever the list says of its age.
#pragma once

#include <optional>

#include "policy/brain.hpp"

namespace gatetiller::decide {

class EngineWatch {
public:
    // Each returns whether the entry for the module has changed.
    bool listed(const EngineEntry& entry);  // by the list; state off: gone from it
    // GET /v1/info and /v1/info/state: `uptime` where told. An engine that can't be asked says nothing: the
    // list and the outcomes of attempts decide, since a check that fails may be the check's own fault.
    bool said(Micros now, bool shutting_down, bool starting, std::optional<Micros> uptime);

    const EngineEntry& entry() const { return entry_; }

private:
    bool settle();

    EngineEntry list_, entry_;
    bool shutting_down_ = false, starting_ = false;
    Micros came_up_ = 0;  // by its own word
};

}  // namespace gatetiller::decide
