// The state of one engine as a gateway reports it to the policy, combined from two sources: the endpoint
// list, and the engine's own status (GET /v1/info and /v1/info/state: state and uptime).
//
// Rules:
// - The more restrictive source wins: an engine that is ready in the list is reported as draining while its
//   status is shutting down or starting, while its first status is awaited, or while it is withheld in slow
//   start.
// - The later start time wins: an engine whose uptime shows a new process is in slow start, whatever start
//   time the list has.
// - An engine whose status cannot be read is not restricted: the status check itself may be at fault, and the
//   list and the outcomes of attempts remain.
//
// Times are microseconds of one monotonic clock. Each event returns whether endpoint() has changed.
#pragma once

#include <optional>

#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

class EndpointStateTracker {
public:
    // The endpoint list has this entry; state `removed`: the list no longer contains the engine.
    bool on_listed(const Endpoint& entry);

    // The engine's status was read at `now`. `shutting_down`: nothing where its state is unknown, which
    // changes nothing: an engine does not accept statements again because its state cannot be read. `uptime`:
    // of its process, nothing where it is not reported.
    bool on_status_reported(Micros now, std::optional<bool> shutting_down, bool starting,
                            std::optional<Micros> uptime);

    // A status request is pending whose response must precede the first attempt: a gateway that has just
    // started does not know whether the engine is in slow start.
    bool await_status();

    // The pending status request failed.
    bool on_status_unavailable();

    // Reports an engine in slow start as draining until `until`: attempts that an earlier incarnation of this
    // gateway sent count towards the engine's slow-start budget, and this incarnation does not know them.
    // `slow_start_window`: how long an engine is in slow start after its start.
    bool hold_in_slow_start(Micros now, Micros until, Micros slow_start_window);

    // The entry to report to the policy.
    const Endpoint& endpoint() const {
        return reported_;
    }

private:
    bool update_reported();
    bool is_restricted() const;

    Endpoint listed_;
    Endpoint reported_;
    bool shutting_down_ = false;
    bool starting_ = false;
    bool awaits_status_ = false;
    bool slow_start_hold_ = false;
    // The engine's start according to the reported uptime; 0: none was reported.
    Micros process_started_at_ = 0;
};

}  // namespace gatetiller::decide
