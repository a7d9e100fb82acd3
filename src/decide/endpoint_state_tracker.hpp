// What a front makes of all that it hears about one engine: the list's word, the engine's own word about its
// state and its uptime. The module is told of the strictest: an engine that drains by either account gets
// nothing new, and a process that started anew is a cold one, whatever the list says of its age.
#pragma once

#include <optional>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

class EndpointStateTracker {
public:
    // Each returns whether the entry for the module has changed.
    bool on_listed(const Endpoint& entry);  // by the list; state off: gone from it
    // GET /v1/info and /v1/info/state: `uptime` where told. An engine that can't be asked says nothing: the
    // list and the outcomes of attempts decide, since a check that fails may be the check's own fault.
    bool on_status_reported(Micros now, bool shutting_down, bool starting, std::optional<Micros> uptime);

    // It will be asked for its state: until it has answered, or could not be asked, nothing is sent to it. It
    // may be cold, and this front, just started, would take it for warm.
    bool await_status();
    bool on_status_unavailable();
    // Until then a cold engine gets nothing: a front that was killed sent it what its next life can't know
    // of, and both together must not push it over.
    bool hold_in_slow_start(Micros now, Micros until, Micros warm_up);

    const Endpoint& endpoint() const {
        return entry_;
    }

private:
    bool settle();

    Endpoint list_, entry_;
    bool shutting_down_ = false, starting_ = false, unheard_ = false, held_ = false;
    Micros came_up_ = 0;  // by its own word
};

}  // namespace gatetiller::decide
